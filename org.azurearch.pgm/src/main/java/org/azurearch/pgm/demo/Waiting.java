package org.azurearch.pgm.demo;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.azurearch.errors.AzurearchException;
import org.azurearch.time.SystemTimeSource;
import org.azurearch.time.TimeSource;

/** Waits for conditions and for fixed times. */
final class Waiting {
    private static final Duration POLL_PERIOD = Duration.ofMillis(20);

    private final TimeSource mTime = new SystemTimeSource();

    /**
     * Waits until a condition holds. If its evaluation throws an {@link AzurearchException}, such
     * as when a node does not answer, it does not hold yet.
     *
     * @param timeout the longest time to wait
     * @param condition the condition
     * @return how long it took, or a negative duration if it did not hold in time
     */
    Duration awaitCondition(Duration timeout, BooleanSupplier condition) {
        long start = mTime.nanos();
        while (!holds(condition)) {
            if (mTime.nanos() - start > timeout.toNanos()) {
                return Duration.ofMillis(-1);
            }
            LockSupport.parkNanos(POLL_PERIOD.toNanos());
        }
        return Duration.ofNanos(mTime.nanos() - start);
    }

    /** Waits for a fixed time. */
    void pause(Duration time) {
        long end = mTime.nanos() + time.toNanos();
        while (mTime.nanos() - end < 0) {
            LockSupport.parkNanos(end - mTime.nanos());
        }
    }

    private static boolean holds(BooleanSupplier condition) {
        try {
            return condition.getAsBoolean();
        } catch (AzurearchException e) {
            return false;
        }
    }
}
