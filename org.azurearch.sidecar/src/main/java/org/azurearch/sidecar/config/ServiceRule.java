package org.azurearch.sidecar.config;

/**
 * A service.
 *
 * @param name the name
 * @param healthPath the path that says whether a backend server is healthy
 * @param maxConnections connections that one of its backend servers takes from all sides
 */
public record ServiceRule(String name, String healthPath, int maxConnections) {}
