package org.azurearch.config;

import org.azurearch.errors.SourceLocation;

/**
 * Where a value of a merged configuration comes from.
 *
 * @param path the dotted path of the value, such as {@code routes.check-stock.deadline}
 * @param value the value as printed
 * @param location the file and line that set it; the file {@code default} for a default
 */
public record Provenance(String path, String value, SourceLocation location) {}
