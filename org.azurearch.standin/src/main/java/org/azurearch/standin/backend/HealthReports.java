package org.azurearch.standin.backend;

import java.time.Duration;

/**
 * Behaviour of the health and load endpoints.
 *
 * @param probeCost the delay of the answer to a health probe
 * @param lag the maximum age of the reported load
 * @param misleading whether the server always reports good health and zero load
 */
public record HealthReports(Duration probeCost, Duration lag, boolean misleading) {
    /** Prompt and accurate reports. */
    public static final HealthReports ACCURATE =
            new HealthReports(Duration.ZERO, Duration.ZERO, false);
}
