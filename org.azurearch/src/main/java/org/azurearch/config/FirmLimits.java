package org.azurearch.config;

/**
 * Limits that hold for a firm as a whole.
 *
 * @param callsPerSecond calls that one node admits a second; 0 for no limit
 * @param share the weight of the firm where firms compete for slots, 1 or more
 */
public record FirmLimits(int callsPerSecond, int share) {}
