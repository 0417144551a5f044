package org.azurearch.config;

import java.time.Duration;
import org.azurearch.lib.PolicyId;

/**
 * How the calls of a route are retried and queued.
 *
 * @param id the policy
 * @param attempts the maximum number of attempts of a call, 1 or more
 * @param retryBudgetPercent retries allowed, in percent of first attempts
 * @param queueLength the maximum number of calls that wait at the node for one backend server
 * @param queueWait the maximum time that a call waits there
 */
public record PolicyConfig(
        PolicyId id, int attempts, int retryBudgetPercent, int queueLength, Duration queueWait) {}
