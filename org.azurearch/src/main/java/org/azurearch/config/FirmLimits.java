package org.azurearch.config;

/**
 * Limits of a firm across all its routes and services.
 *
 * @param callsPerSecond calls that one node admits per second; 0 for no limit
 * @param share the weight of the firm where firms compete for slots, 1 or more
 */
public record FirmLimits(int callsPerSecond, int share) {}
