package org.azurearch.spread;

import java.time.Duration;

/** Baseline for comparison: every node reads the log, and nodes send each other nothing. */
public final class PollPolicy implements SpreadPolicy {
    /** The value of the setting {@code spread.policy}. */
    public static final String NAME = "poll";

    private static final Duration NEVER = Duration.ofDays(365);

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public boolean everyNodeReads() {
        return true;
    }

    @Override
    public Duration batchWindow() {
        return Duration.ZERO;
    }

    @Override
    public int fanOut() {
        return 1;
    }

    @Override
    public Duration antiEntropyPeriod() {
        return NEVER;
    }

    @Override
    public Duration reportDelay() {
        return NEVER;
    }

    @Override
    public int compressionLevel() {
        return 1;
    }
}
