package org.azurearch.yaml;

import java.util.Collection;
import java.util.Comparator;
import java.util.Locale;
import java.util.Optional;

/** Suggests a known name for a misspelt one. */
public final class NameSuggester {
    private static final int MAX_NAME_CHARS = 100;
    private static final int CHARS_PER_EDIT = 3;

    private NameSuggester() {}

    /**
     * Returns the known name with the smallest edit distance, if that is at most a third of its
     * length or 1.
     *
     * @param name the misspelt name
     * @param known the known names
     */
    public static Optional<String> suggest(String name, Collection<String> known) {
        if (name.length() > MAX_NAME_CHARS) {
            return Optional.empty();
        }
        return known.stream()
                .filter(candidate -> distance(name, candidate) <= maxDistance(candidate))
                .min(
                        Comparator.comparingInt((String candidate) -> distance(name, candidate))
                                .thenComparing(Comparator.naturalOrder()));
    }

    private static int maxDistance(String candidate) {
        return Math.max(1, candidate.length() / CHARS_PER_EDIT);
    }

    /** Returns the Levenshtein distance, ignoring case. */
    static int distance(String left, String right) {
        String a = left.toLowerCase(Locale.ROOT);
        String b = right.toLowerCase(Locale.ROOT);
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int substituted = diagonal + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                diagonal = row[j];
                row[j] = Math.min(substituted, Math.min(row[j], row[j - 1]) + 1);
            }
        }
        return row[b.length()];
    }
}
