package org.azurearch.config;

import org.azurearch.errors.SourceLocation;

/**
 * The source of a value in a merged configuration.
 *
 * @param path the dotted path of the value, such as {@code routes.check-stock.deadline}
 * @param value the value as printed
 * @param location the file and line that set it; the file {@code default} for a default
 */
public record Provenance(String path, String value, SourceLocation location) {}
