package org.azurearch.settings;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.jspecify.annotations.Nullable;

/**
 * A section of the settings with typed access. The settings have been validated against the schema,
 * so that a wrong type here is a programming error.
 */
public final class SettingsSection {
    private final String mPath;
    private final Map<?, ?> mValues;

    /**
     * Creates a section.
     *
     * @param path the dotted path of the section, for messages; empty for the root
     * @param values the values by key, as returned by the YAML reader
     */
    public SettingsSection(String path, Map<?, ?> values) {
        mPath = path;
        mValues = values;
    }

    /** Returns an empty section, in which all settings have their defaults. */
    public static SettingsSection empty() {
        return new SettingsSection("", Map.of());
    }

    /** Returns a nested section, or an empty one if it is absent. */
    public SettingsSection section(String key) {
        Object value = mValues.get(key);
        return new SettingsSection(pathOf(key), value instanceof Map<?, ?> map ? map : Map.of());
    }

    /** Returns whether a key is present. */
    public boolean has(String key) {
        return mValues.get(key) != null;
    }

    /** Returns a list of nested sections; empty if it is absent. */
    public List<SettingsSection> sections(String key) {
        List<SettingsSection> sections = new ArrayList<>();
        for (Object item : list(key)) {
            if (!(item instanceof Map<?, ?> map)) {
                throw wrongType(key, "a list of mappings");
            }
            sections.add(new SettingsSection(pathOf(key) + "[" + sections.size() + "]", map));
        }
        return List.copyOf(sections);
    }

    /**
     * Returns a required string.
     *
     * @throws AzurearchException with {@link ErrorCode#MISSING_KEY} if it is absent
     */
    public String string(String key) {
        return optionalString(key)
                .orElseThrow(
                        () ->
                                new AzurearchException(
                                        ErrorCode.MISSING_KEY, "missing " + pathOf(key)));
    }

    /** Returns a string, or its default. */
    public String string(String key, String fallback) {
        return optionalString(key).orElse(fallback);
    }

    /** Returns an optional string. */
    public Optional<String> optionalString(String key) {
        return Optional.ofNullable(mValues.get(key)).map(Object::toString);
    }

    /** Returns a list of strings; empty if it is absent. */
    public List<String> strings(String key) {
        List<String> strings = new ArrayList<>();
        for (Object item : list(key)) {
            strings.add(String.valueOf(item));
        }
        return List.copyOf(strings);
    }

    /** Returns an integer, or its default. */
    public int integer(String key, int fallback) {
        return typed(key, fallback, value -> ((Number) value).intValue(), "a whole number");
    }

    /** Returns a number, or its default. */
    public double decimal(String key, double fallback) {
        return typed(key, fallback, value -> ((Number) value).doubleValue(), "a number");
    }

    /** Returns a boolean, or its default. */
    public boolean bool(String key, boolean fallback) {
        return typed(key, fallback, Boolean.class::cast, "true or false");
    }

    /** Returns a duration such as {@code 250ms}, {@code 4s} or {@code 2h}, or its default. */
    public Duration duration(String key, Duration fallback) {
        return typed(key, fallback, value -> Durations.parse(value.toString()), "a duration");
    }

    private List<?> list(String key) {
        Object value = mValues.get(key);
        if (value == null) {
            return List.of();
        }
        if (value instanceof List<?> list) {
            return list;
        }
        throw wrongType(key, "a list");
    }

    private <T> T typed(String key, T fallback, Function<Object, T> convert, String expected) {
        @Nullable Object value = mValues.get(key);
        if (value == null) {
            return fallback;
        }
        try {
            return convert.apply(value);
        } catch (ClassCastException e) {
            throw wrongType(key, expected);
        }
    }

    private AzurearchException wrongType(String key, String expected) {
        return new AzurearchException(
                ErrorCode.WRONG_TYPE, "expected " + expected + " at " + pathOf(key));
    }

    private String pathOf(String key) {
        return mPath.isEmpty() ? key : mPath + "." + key;
    }
}
