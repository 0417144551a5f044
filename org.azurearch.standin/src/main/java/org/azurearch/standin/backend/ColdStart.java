package org.azurearch.standin.backend;

import java.time.Duration;

/**
 * Startup and warm-up of a backend server.
 *
 * @param startup how long the server stays in the starting state
 * @param warmUp how long after the start requests take longer
 * @param initialSlowdown the service time factor at the start, at least 1; falls linearly to 1 by
 *     the end of the warm-up
 */
public record ColdStart(Duration startup, Duration warmUp, double initialSlowdown) {
    /** Ready at once, without a slowdown. */
    public static final ColdStart NONE = new ColdStart(Duration.ZERO, Duration.ZERO, 1.0);

    /** Returns the service time factor at a given time after the start. */
    public double serviceTimeFactor(long nanosSinceStart) {
        long warmUpNanos = warmUp.toNanos();
        if (nanosSinceStart >= warmUpNanos) {
            return 1.0;
        }
        return initialSlowdown - (initialSlowdown - 1.0) * nanosSinceStart / warmUpNanos;
    }
}
