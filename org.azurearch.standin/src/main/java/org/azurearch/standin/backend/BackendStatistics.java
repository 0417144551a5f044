package org.azurearch.standin.backend;

/**
 * Statistics of a backend server stand-in since its start.
 *
 * @param runs requests that started to run
 * @param finished requests that completed with an answer
 * @param shed requests rejected because no slot was free or the server was not ready
 * @param cancelled requests whose caller disconnected while they ran
 * @param doubleRuns the number of order keys that ran more than once
 * @param inUse slots currently in use
 * @param connections open connections
 */
public record BackendStatistics(
        long runs,
        long finished,
        long shed,
        long cancelled,
        long doubleRuns,
        int inUse,
        int connections) {}
