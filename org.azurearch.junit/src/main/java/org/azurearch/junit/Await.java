package org.azurearch.junit;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Waits with a timeout for conditions that depend on other threads or processes. */
public final class Await {
    /** The timeout of waits without an explicit one. */
    public static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(20);

    private static final long POLL_PERIOD_NANOS = 2_000_000L;

    private Await() {}

    /**
     * Waits for a condition.
     *
     * @param description the condition in words, for the failure message
     * @param condition must be quick and have no side effects
     * @throws AssertionError when it does not become true within {@link #DEFAULT_TIMEOUT}
     */
    public static void until(String description, BooleanSupplier condition) {
        until(description, DEFAULT_TIMEOUT, condition);
    }

    /**
     * Waits for a condition with an explicit timeout.
     *
     * @throws AssertionError when it does not become true in time
     */
    public static void until(String description, Duration timeout, BooleanSupplier condition) {
        long deadline = System.nanoTime() + timeout.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - deadline > 0 || Thread.currentThread().isInterrupted()) {
                throw new AssertionError("timed out after " + timeout + ": " + description);
            }
            LockSupport.parkNanos(POLL_PERIOD_NANOS);
        }
    }

    /**
     * Waits until a value is the one expected.
     *
     * @param expected the expected value
     * @param actual supplies the value; must be quick and have no side effects
     * @param <T> the type of the value
     * @throws AssertionError with both values when they do not become equal in time
     */
    public static <T> void untilEquals(T expected, Supplier<? extends T> actual) {
        try {
            until("value is " + expected, () -> expected.equals(actual.get()));
        } catch (AssertionError e) {
            throw new AssertionError(e.getMessage() + ", last value was " + actual.get(), e);
        }
    }
}
