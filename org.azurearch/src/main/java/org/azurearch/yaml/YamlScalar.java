package org.azurearch.yaml;

import org.azurearch.errors.SourceLocation;
import org.jspecify.annotations.Nullable;

/**
 * A scalar.
 *
 * @param value a {@code String}, {@code Long}, {@code Double} or {@code Boolean}, or null
 * @param location where it starts
 */
public record YamlScalar(@Nullable Object value, SourceLocation location) implements YamlNode {
    /** Returns the value as text; {@code null} for the null value. */
    public String text() {
        return String.valueOf(value);
    }

    @Override
    public String description() {
        if (value == null) {
            return "nothing";
        }
        if (value instanceof Long) {
            return "the whole number " + value;
        }
        if (value instanceof Boolean || value instanceof Double) {
            return value.toString();
        }
        return "the text '" + value + "'";
    }
}
