package org.azurearch.spread;

import java.time.Duration;

/** Minimises convergence time: short batch window, wide push tree and frequent anti-entropy. */
public final class ConvergencePolicy extends TreePolicy {
    /** The value of the setting {@code spread.policy}. */
    public static final String NAME = "convergence";

    private static final Duration BATCH_WINDOW = Duration.ofMillis(10);
    private static final Duration ANTI_ENTROPY_PERIOD = Duration.ofMillis(1_500);
    private static final Duration REPORT_DELAY = Duration.ofMillis(200);
    private static final int FAN_OUT = 8;
    private static final int COMPRESSION_LEVEL = 1;

    /** Creates the policy. */
    public ConvergencePolicy() {
        super(NAME, BATCH_WINDOW, ANTI_ENTROPY_PERIOD, REPORT_DELAY, FAN_OUT, COMPRESSION_LEVEL);
    }
}
