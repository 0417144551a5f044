package org.azurearch.standin.backend;

import java.time.Duration;

/**
 * What the health and load endpoints tell.
 *
 * @param probeCost how long the answer to a health probe takes
 * @param lag the age that a load report may reach
 * @param misleading whether health is always good and the load always zero
 */
public record HealthReports(Duration probeCost, Duration lag, boolean misleading) {
    /** Prompt and true reports. */
    public static final HealthReports ACCURATE =
            new HealthReports(Duration.ZERO, Duration.ZERO, false);
}
