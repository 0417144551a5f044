package org.azurearch.standin.backend;

import java.time.Duration;

/**
 * How a backend server behaves after its start.
 *
 * @param startup how long it announces itself as starting
 * @param warmUp how long after its start it is slow
 * @param initialSlowdown the factor on the service time at the start, 1 or more; it falls evenly to
 *     1 until the end of the warm-up
 */
public record ColdStart(Duration startup, Duration warmUp, double initialSlowdown) {
    /** Ready and quick at once. */
    public static final ColdStart NONE = new ColdStart(Duration.ZERO, Duration.ZERO, 1.0);

    /** Returns the factor on the service time some time after the start. */
    public double serviceTimeFactor(long nanosSinceStart) {
        long warmUpNanos = warmUp.toNanos();
        if (nanosSinceStart >= warmUpNanos) {
            return 1.0;
        }
        return initialSlowdown - (initialSlowdown - 1.0) * nanosSinceStart / warmUpNanos;
    }
}
