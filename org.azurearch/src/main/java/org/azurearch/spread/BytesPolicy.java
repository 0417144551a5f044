package org.azurearch.spread;

import java.time.Duration;

/** Minimises control traffic: long batch window, narrow push tree and infrequent anti-entropy. */
public final class BytesPolicy extends TreePolicy {
    /** The value of the setting {@code spread.policy}. */
    public static final String NAME = "bytes";

    private static final Duration BATCH_WINDOW = Duration.ofMillis(500);
    private static final Duration ANTI_ENTROPY_PERIOD = Duration.ofMillis(3_100);
    private static final Duration REPORT_DELAY = Duration.ofSeconds(2);
    private static final int FAN_OUT = 4;
    private static final int COMPRESSION_LEVEL = 9;

    /** Creates the policy. */
    public BytesPolicy() {
        super(NAME, BATCH_WINDOW, ANTI_ENTROPY_PERIOD, REPORT_DELAY, FAN_OUT, COMPRESSION_LEVEL);
    }
}
