package org.azurearch.standin.backend;

/**
 * What a backend server stand-in has seen since its start.
 *
 * @param runs requests that began to run
 * @param finished requests that were answered
 * @param shed requests refused because no slot was free or the server was leaving
 * @param cancelled requests whose caller went away while they ran
 * @param doubleRuns keys that ran more than once
 * @param inUse slots in use now
 * @param connections connections open now
 */
public record BackendStatistics(
        long runs,
        long finished,
        long shed,
        long cancelled,
        long doubleRuns,
        int inUse,
        int connections) {}
