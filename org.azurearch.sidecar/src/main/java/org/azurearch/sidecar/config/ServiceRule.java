package org.azurearch.sidecar.config;

/**
 * The configuration of a service.
 *
 * @param name the name
 * @param healthPath the path of a backend server's health check
 * @param maxConnections the most connections that one of its backend servers accepts in total
 */
public record ServiceRule(String name, String healthPath, int maxConnections) {}
