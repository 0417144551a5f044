package org.azurearch.sidecar.internal.mesh;

import java.util.random.RandomGenerator;

/**
 * Decides when a node compares its state with that of a peer. Several comparisons fit into the time
 * within which a configuration has to be in force, as each of them may be lost with its link.
 * Confined to one thread.
 */
final class PulseSchedule {
    /** Mean interval between two pulses, in milliseconds. */
    static final long MEAN_MILLIS = 400;

    private final RandomGenerator mRandom;

    PulseSchedule(RandomGenerator random) {
        mRandom = random;
    }

    /** Returns the time until the next pulse, in milliseconds; jittered by half of the mean. */
    long nextDelayMillis() {
        return MEAN_MILLIS / 2 + mRandom.nextLong(MEAN_MILLIS);
    }
}
