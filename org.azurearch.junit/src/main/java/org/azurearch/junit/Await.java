package org.azurearch.junit;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Bounded waits for a condition that other threads or processes bring about. */
public final class Await {
    /** How long a wait lasts unless said otherwise. */
    public static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(20);

    private static final long POLL_PERIOD_NANOS = 2_000_000L;

    private Await() {}

    /**
     * Waits for a condition.
     *
     * @param description what is waited for, for the failure's message
     * @param condition must be quick and without effects
     * @throws AssertionError when it did not become true within {@link #DEFAULT_TIMEOUT}
     */
    public static void until(String description, BooleanSupplier condition) {
        until(description, DEFAULT_TIMEOUT, condition);
    }

    /**
     * Waits for a condition for a given time.
     *
     * @throws AssertionError when it did not become true in time
     */
    public static void until(String description, Duration timeout, BooleanSupplier condition) {
        long deadline = System.nanoTime() + timeout.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - deadline > 0 || Thread.currentThread().isInterrupted()) {
                throw new AssertionError("not within " + timeout + ": " + description);
            }
            LockSupport.parkNanos(POLL_PERIOD_NANOS);
        }
    }

    /**
     * Waits until a value is the one expected.
     *
     * @param expected the value waited for
     * @param actual supplies the value; must be quick and without effects
     * @param <T> the type of the value
     * @throws AssertionError naming both values when it did not become so in time
     */
    public static <T> void untilEquals(T expected, Supplier<? extends T> actual) {
        try {
            until("value is " + expected, () -> expected.equals(actual.get()));
        } catch (AssertionError e) {
            throw new AssertionError(e.getMessage() + ", last seen " + actual.get(), e);
        }
    }
}
