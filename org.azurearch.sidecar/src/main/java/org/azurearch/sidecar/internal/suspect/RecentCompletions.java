package org.azurearch.sidecar.internal.suspect;

import java.util.concurrent.TimeUnit;

/**
 * The groups of requests of which one has completed lately. Holds a fixed number of groups, and
 * forgets an earlier one for each further group in its slot. Confined to one thread.
 */
final class RecentCompletions {
    /** How long a completion speaks for its group. */
    static final long LIFETIME_NANOS = TimeUnit.MINUTES.toNanos(1);

    /** A power of two. */
    private static final int SLOTS = 2_048;

    private final long[] mGroups = new long[SLOTS];
    private final long[] mCompletedNanos = new long[SLOTS];

    /** Records that a request of a group has completed. */
    void add(long group, long nowNanos) {
        int slot = slot(group);
        mGroups[slot] = group;
        mCompletedNanos[slot] = nowNanos;
    }

    /** Returns whether a request of a group is known to have completed lately. */
    boolean contains(long group, long nowNanos) {
        return contains(group, nowNanos, LIFETIME_NANOS);
    }

    /** Returns whether a request of a group is known to have completed within a time. */
    boolean contains(long group, long nowNanos, long maxAgeNanos) {
        int slot = slot(group);
        return mGroups[slot] == group && nowNanos - mCompletedNanos[slot] < maxAgeNanos;
    }

    private static int slot(long group) {
        return (int) (group ^ group >>> Integer.SIZE) & SLOTS - 1;
    }
}
