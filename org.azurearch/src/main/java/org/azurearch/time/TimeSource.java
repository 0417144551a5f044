package org.azurearch.time;

/** Source of time. Decisions never read a clock of their own. */
public interface TimeSource {
    /** Returns nanoseconds from an arbitrary origin; never goes back. */
    long nanos();

    /** Returns the wall clock, in milliseconds since the epoch; may jump. */
    long wallMillis();

    /** Returns milliseconds from the origin of {@link #nanos()}. */
    default long millis() {
        return nanos() / 1_000_000L;
    }
}
