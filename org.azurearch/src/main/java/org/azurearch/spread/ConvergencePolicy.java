package org.azurearch.spread;

import java.time.Duration;

/** Favours convergence time: pushes at once, wide, and repairs soon. */
public final class ConvergencePolicy implements SpreadPolicy {
    /** The name in the settings. */
    public static final String NAME = "convergence";

    private static final Duration BATCH_WINDOW = Duration.ofMillis(10);
    private static final Duration ANTI_ENTROPY_PERIOD = Duration.ofMillis(1_500);
    private static final Duration REPORT_DELAY = Duration.ofMillis(200);
    private static final int FAN_OUT = 8;
    private static final int COMPRESSION_LEVEL = 1;

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public boolean everyNodeReads() {
        return false;
    }

    @Override
    public Duration batchWindow() {
        return BATCH_WINDOW;
    }

    @Override
    public int fanOut() {
        return FAN_OUT;
    }

    @Override
    public Duration antiEntropyPeriod() {
        return ANTI_ENTROPY_PERIOD;
    }

    @Override
    public Duration reportDelay() {
        return REPORT_DELAY;
    }

    @Override
    public int compressionLevel() {
        return COMPRESSION_LEVEL;
    }
}
