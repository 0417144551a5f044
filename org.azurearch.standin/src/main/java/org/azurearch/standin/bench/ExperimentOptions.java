package org.azurearch.standin.bench;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.settings.Durations;

/** Options of an experiment. Collects each value read, default or given, for the record. */
public final class ExperimentOptions {
    private static final int DEFAULT_SEED = 1;

    private final Map<String, String> mGivenValues;
    private final Map<String, String> mEffectiveValues = new TreeMap<>();

    /**
     * Creates options.
     *
     * @param given the values given on the command line, by option name
     */
    public ExperimentOptions(Map<String, String> given) {
        mGivenValues = Map.copyOf(given);
    }

    /** Returns the seed of all random number generators. */
    public int seed() {
        return integer("seed", DEFAULT_SEED);
    }

    /** Returns the value of a text option. */
    public String string(String name, String defaultValue) {
        String value = mGivenValues.getOrDefault(name, defaultValue);
        mEffectiveValues.put(name, value);
        return value;
    }

    /**
     * Returns the value of an integer option.
     *
     * @throws AzurearchException with {@link ErrorCode#USAGE} if the value is not an integer
     */
    public int integer(String name, int defaultValue) {
        String value = string(name, Integer.toString(defaultValue));
        try {
            return Integer.parseInt(value);
        } catch (NumberFormatException e) {
            throw new AzurearchException(
                    ErrorCode.USAGE, "option " + name + ": not an integer: " + value, e);
        }
    }

    /**
     * Returns the value of a duration option, such as {@code 250ms} or {@code 4s}.
     *
     * @throws AzurearchException with {@link ErrorCode#WRONG_TYPE} if the value is not a duration
     */
    public Duration duration(String name, Duration defaultValue) {
        return Durations.parse(string(name, defaultValue.toMillis() + "ms"));
    }

    /** Returns the options read so far with their values, defaults included. */
    public Map<String, String> effectiveValues() {
        return Map.copyOf(mEffectiveValues);
    }

    /**
     * Rejects given options that have not been read.
     *
     * @throws AzurearchException with {@link ErrorCode#USAGE} that names them
     */
    public void rejectUnknown() {
        Map<String, String> unknown = new TreeMap<>(mGivenValues);
        unknown.keySet().removeAll(mEffectiveValues.keySet());
        if (!unknown.isEmpty()) {
            throw new AzurearchException(
                    ErrorCode.USAGE,
                    "unknown options "
                            + unknown.keySet()
                            + "; known options: "
                            + mEffectiveValues.keySet());
        }
    }
}
