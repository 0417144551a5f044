package org.azurearch.sidecar.internal.mesh;

import java.util.random.RandomGenerator;

/**
 * Decides when a node compares its configuration and its other state with those of a peer. Several
 * comparisons fit into the time within which a configuration has to be in force, as each of them
 * may be lost with its link. Confined to one thread.
 */
final class PulseSchedule {
    /** Mean interval between two pulses, in milliseconds. */
    static final long MEAN_MILLIS = 400;

    /** Members and strikes change less often, and cost more to compare where they do. */
    private static final int PULSES_PER_COMPARISON = 2;

    private final RandomGenerator mRandom;
    private long mPulses;

    PulseSchedule(RandomGenerator random) {
        mRandom = random;
    }

    /** Returns the time until the next pulse, in milliseconds; jittered by half of the mean. */
    long nextDelayMillis() {
        return MEAN_MILLIS / 2 + mRandom.nextLong(MEAN_MILLIS);
    }

    /** Returns whether the next pulse compares all state and not only the configuration. */
    boolean comparesState() {
        return mPulses++ % PULSES_PER_COMPARISON == 0;
    }
}
