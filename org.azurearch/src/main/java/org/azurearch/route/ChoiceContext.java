package org.azurearch.route;

import java.util.Set;
import java.util.random.RandomGenerator;
import org.azurearch.lib.NodeId;

/**
 * What a choice goes by besides the candidates.
 *
 * @param nowNanos the time, in nanoseconds from an arbitrary origin
 * @param wallMillis the time, in milliseconds since the epoch
 * @param excluded nodes that this call has been sent to without success
 * @param random the source of randomness
 */
public record ChoiceContext(
        long nowNanos, long wallMillis, Set<NodeId> excluded, RandomGenerator random) {}
