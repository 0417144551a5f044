package org.azurearch.route;

import java.util.Set;
import java.util.random.RandomGenerator;
import org.azurearch.lib.NodeId;

/**
 * Input of a {@link Balancer} besides the candidates.
 *
 * @param nowNanos the time, in nanoseconds from an arbitrary origin
 * @param wallMillis the time, in milliseconds since the epoch
 * @param excluded nodes that the call must not be sent to, such as those of failed attempts
 * @param random the source of randomness
 */
public record ChoiceContext(
        long nowNanos, long wallMillis, Set<NodeId> excluded, RandomGenerator random) {}
