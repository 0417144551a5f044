package org.azurearch.internal.config;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.azurearch.errors.ErrorCode;
import org.azurearch.errors.Problem;
import org.azurearch.errors.SourceLocation;
import org.azurearch.settings.Durations;
import org.azurearch.yaml.YamlEntry;
import org.azurearch.yaml.YamlList;
import org.azurearch.yaml.YamlMapping;
import org.azurearch.yaml.YamlScalar;
import org.jspecify.annotations.Nullable;

/**
 * Reads the fields of one merged entry. An invalid field adds a problem and yields a placeholder,
 * so that all problems are found in one pass.
 */
final class EntryReader {
    private static final String PLACEHOLDER = "missing";

    private final String mPath;
    private final YamlEntry mEntry;
    private final List<Problem> mProblems;

    /**
     * Creates a reader.
     *
     * @param path the dotted path of the entry, for messages
     * @param entry the entry, which conforms to the schema
     * @param problems receives the problems found
     */
    EntryReader(String path, YamlEntry entry, List<Problem> problems) {
        mPath = path;
        mEntry = entry;
        mProblems = problems;
    }

    /** Returns whether a field is present. */
    boolean has(String key) {
        return fields().value(key).isPresent();
    }

    /** Returns a required text. */
    String text(String key) {
        YamlScalar scalar = scalar(key);
        return scalar == null ? PLACEHOLDER : scalar.text();
    }

    /** Returns a required whole number. */
    int integer(String key) {
        YamlScalar scalar = scalar(key);
        return scalar != null && scalar.value() instanceof Number number ? number.intValue() : 0;
    }

    /** Returns a required boolean. */
    boolean bool(String key) {
        YamlScalar scalar = scalar(key);
        return scalar != null && Boolean.TRUE.equals(scalar.value());
    }

    /** Returns a required duration within bounds. */
    Duration duration(String key, Duration min, Duration max) {
        YamlScalar scalar = scalar(key);
        if (scalar == null) {
            return min;
        }
        Duration duration = Durations.parse(scalar.text());
        if (duration.compareTo(min) < 0 || duration.compareTo(max) > 0) {
            String bounds = min.toMillis() + "ms to " + max.toMillis() + "ms";
            String message = "expected a duration of " + bounds + " at " + mPath + "." + key;
            addProblem(ErrorCode.OUT_OF_RANGE, key, message + ", found " + scalar.text());
        }
        return duration;
    }

    /** Returns the texts of a list; empty if the field is absent. */
    Set<String> texts(String key) {
        Set<String> texts = new LinkedHashSet<>();
        if (fields().value(key).orElse(null) instanceof YamlList list) {
            list.items().forEach(item -> texts.add(((YamlScalar) item).text()));
        }
        return texts;
    }

    /** Adds a problem with a field. */
    void addProblem(ErrorCode code, String key, String message) {
        mProblems.add(new Problem(code, locationOf(key), message));
    }

    /** Returns where a field is set, or where the entry is when it is absent. */
    SourceLocation locationOf(String key) {
        YamlEntry field = fields().entries().get(key);
        return field == null ? mEntry.location() : field.location();
    }

    private YamlMapping fields() {
        return (YamlMapping) mEntry.value();
    }

    private @Nullable YamlScalar scalar(String key) {
        if (fields().value(key).orElse(null) instanceof YamlScalar scalar) {
            return scalar;
        }
        addProblem(ErrorCode.MISSING_KEY, key, "missing key '" + key + "' at " + mPath);
        return null;
    }
}
