package org.azurearch.standin.bench;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.settings.Durations;

/** Options of an experiment; remembers each value that was asked for, for the record. */
public final class ExperimentOptions {
    private static final int DEFAULT_SEED = 1;

    private final Map<String, String> mGivenValues;
    private final Map<String, String> mEffectiveValues = new TreeMap<>();

    /**
     * Creates options.
     *
     * @param given the options given by name
     */
    public ExperimentOptions(Map<String, String> given) {
        mGivenValues = Map.copyOf(given);
    }

    /** Returns the seed of all random numbers. */
    public int seed() {
        return integer("seed", DEFAULT_SEED);
    }

    /** Returns a text. */
    public String string(String name, String defaultValue) {
        String value = mGivenValues.getOrDefault(name, defaultValue);
        mEffectiveValues.put(name, value);
        return value;
    }

    /**
     * Returns a whole number.
     *
     * @throws AzurearchException with {@link ErrorCode#USAGE} when it is not one
     */
    public int integer(String name, int defaultValue) {
        String value = string(name, Integer.toString(defaultValue));
        try {
            return Integer.parseInt(value);
        } catch (NumberFormatException e) {
            throw new AzurearchException(
                    ErrorCode.USAGE, "option " + name + ": not a whole number: " + value, e);
        }
    }

    /**
     * Returns a duration such as {@code 250ms} or {@code 4s}.
     *
     * @throws AzurearchException with {@link ErrorCode#WRONG_TYPE} when it is not one
     */
    public Duration duration(String name, Duration defaultValue) {
        return Durations.parse(string(name, defaultValue.toMillis() + "ms"));
    }

    /** Returns the options that were read, with their values. */
    public Map<String, String> effectiveValues() {
        return Map.copyOf(mEffectiveValues);
    }

    /**
     * Refuses options that nothing has read.
     *
     * @throws AzurearchException with {@link ErrorCode#USAGE} naming them
     */
    public void rejectUnknown() {
        Map<String, String> unknown = new TreeMap<>(mGivenValues);
        unknown.keySet().removeAll(mEffectiveValues.keySet());
        if (!unknown.isEmpty()) {
            throw new AzurearchException(
                    ErrorCode.USAGE,
                    "unknown options "
                            + unknown.keySet()
                            + "; known are "
                            + mEffectiveValues.keySet());
        }
    }
}
