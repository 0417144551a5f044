package org.azurearch.standin.bench;

/**
 * A figure that an experiment found.
 *
 * @param name dotted, such as {@code added.p99}
 * @param value the value
 * @param unit the unit, such as {@code ms} or {@code B/s}
 */
public record Figure(String name, double value, String unit) {}
