package org.azurearch.spread;

import java.time.Duration;

/** Favours control bytes: gathers records before a push and repairs less often. */
public final class BytesPolicy implements SpreadPolicy {
    /** The name in the settings. */
    public static final String NAME = "bytes";

    private static final Duration BATCH_WINDOW = Duration.ofMillis(500);
    private static final Duration ANTI_ENTROPY_PERIOD = Duration.ofMillis(3_100);
    private static final Duration REPORT_DELAY = Duration.ofSeconds(2);
    private static final int FAN_OUT = 4;
    private static final int COMPRESSION_LEVEL = 9;

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
