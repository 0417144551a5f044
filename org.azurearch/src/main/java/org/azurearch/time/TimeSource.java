package org.azurearch.time;

/** Source of time. Code that makes decisions uses it and never reads a system clock directly. */
public interface TimeSource {
    /** Returns monotonic time, in nanoseconds from an arbitrary origin. */
    long nanos();

    /** Returns wall-clock time, in milliseconds since the epoch; it may jump. */
    long wallMillis();

    /** Returns monotonic time, in milliseconds from the origin of {@link #nanos()}. */
    default long millis() {
        return nanos() / 1_000_000L;
    }
}
