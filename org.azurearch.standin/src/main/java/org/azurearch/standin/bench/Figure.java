package org.azurearch.standin.bench;

/**
 * A single value measured by an experiment.
 *
 * @param name dotted name, such as {@code added.p99}
 * @param value the value
 * @param unit the unit, such as {@code ms} or {@code B/s}
 */
public record Figure(String name, double value, String unit) {}
