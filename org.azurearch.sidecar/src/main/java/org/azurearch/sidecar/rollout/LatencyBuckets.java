package org.azurearch.sidecar.rollout;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Buckets of latency that grow by a constant factor. */
final class LatencyBuckets {
    /** Twenty-eight buckets by a factor of 1.4 reach from 2 ms to 18 s. */
    static final int COUNT = 28;

    private static final double FIRST_MILLIS = 2;
    private static final double FACTOR = 1.4;

    private LatencyBuckets() {}

    /** Returns the bucket of a latency. */
    static int index(double millis) {
        if (millis <= FIRST_MILLIS) {
            return 0;
        }
        int index = (int) Math.ceil(Math.log(millis / FIRST_MILLIS) / Math.log(FACTOR));
        return Math.min(index, COUNT - 1);
    }

    /** Returns the upper end of a quantile's bucket, in milliseconds; 0 without latencies. */
    static double quantile(List<Long> counts, double quantile) {
        long total = 0;
        for (long count : counts) {
            total += count;
        }
        long below = 0;
        for (int i = 0; i < counts.size(); i++) {
            below += counts.get(i);
            if (total > 0 && below >= quantile * total) {
                return FIRST_MILLIS * Math.pow(FACTOR, i);
            }
        }
        return 0;
    }

    /** Returns the sum of two lists of counts. */
    static List<Long> sum(List<Long> one, List<Long> other) {
        List<Long> sum = new ArrayList<>(Collections.nCopies(COUNT, 0L));
        for (int i = 0; i < COUNT; i++) {
            long first = i < one.size() ? one.get(i) : 0;
            sum.set(i, first + (i < other.size() ? other.get(i) : 0));
        }
        return sum;
    }
}
