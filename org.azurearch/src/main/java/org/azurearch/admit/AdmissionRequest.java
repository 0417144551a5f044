package org.azurearch.admit;

/**
 * What admission goes by for one call.
 *
 * @param priority the rank of its class; 0 is served first and shed last
 * @param firm the firm whose call it is
 * @param share the weight of the firm where firms compete, 1 or more
 * @param callsPerSecond calls of the firm that this node admits a second; 0 for no limit
 * @param queueLength the most calls that may wait
 * @param queueWaitNanos the longest that the call may wait
 * @param deadlineNanos the time by which its caller wants the answer
 */
public record AdmissionRequest(
        int priority,
        String firm,
        int share,
        int callsPerSecond,
        int queueLength,
        long queueWaitNanos,
        long deadlineNanos) {}
