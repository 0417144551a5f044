package org.azurearch.admit;

/**
 * The data of a call that admission depends on.
 *
 * @param rank the rank of the call's class; 0 is served first and shed last
 * @param firm the firm that owns the call's route
 * @param share the weight of the firm among firms with queued calls, at least 1
 * @param callsPerSecond the calls of the firm that this node admits per second; 0 for no limit
 * @param queueLength the maximum number of queued calls
 * @param queueWaitNanos the longest time that the call may be queued
 * @param deadlineNanos the time at which the caller gives up
 */
public record AdmissionRequest(
        int rank,
        String firm,
        int share,
        int callsPerSecond,
        int queueLength,
        long queueWaitNanos,
        long deadlineNanos) {}
