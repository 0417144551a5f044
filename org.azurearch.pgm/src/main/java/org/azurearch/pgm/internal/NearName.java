package org.azurearch.pgm.internal;

/** Edit distance between names. */
final class NearName {
    private NearName() {}

    /** Returns how many insertions, deletions and substitutions turn one name into the other. */
    static int distance(String a, String b) {
        int[] previous = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            previous[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int[] current = new int[b.length() + 1];
            current[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int substitution = a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1;
                current[j] =
                        Math.min(
                                Math.min(current[j - 1], previous[j]) + 1,
                                previous[j - 1] + substitution);
            }
            previous = current;
        }
        return previous[b.length()];
    }
}
