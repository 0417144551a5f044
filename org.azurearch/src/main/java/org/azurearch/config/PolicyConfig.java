package org.azurearch.config;

import java.time.Duration;
import org.azurearch.lib.PolicyId;

/**
 * How the calls of a route are retried and queued.
 *
 * @param id the policy
 * @param attempts the most times a call is sent, 1 or more
 * @param retryBudgetPercent retries allowed, in percent of first attempts
 * @param queueLength the most calls that wait at the node in front of a backend server
 * @param queueWait the longest that a call waits there
 */
public record PolicyConfig(
        PolicyId id, int attempts, int retryBudgetPercent, int queueLength, Duration queueWait) {}
