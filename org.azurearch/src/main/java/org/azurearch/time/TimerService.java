package org.azurearch.time;

import java.time.Duration;

/** Timer service that parts subscribe to. Tasks must be short: they hand work to a duty's ring. */
public interface TimerService extends AutoCloseable {
    /** A subscription. */
    interface ScheduledTask {
        /** Ends the subscription; a task that runs already is not interrupted. */
        void cancel();
    }

    /** Returns the time source that the timers go by. */
    TimeSource time();

    /**
     * Runs a task once.
     *
     * @param delay the delay from now
     * @param task the task
     */
    ScheduledTask after(Duration delay, Runnable task);

    /**
     * Runs a task again and again, the first time after one period.
     *
     * @param period the time from the end of one run to the start of the next
     * @param task the task; a failure is logged and does not end the subscription
     */
    ScheduledTask every(Duration period, Runnable task);

    @Override
    void close();
}
