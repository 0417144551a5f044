package org.azurearch.time;

import java.time.Duration;

/** Schedules tasks. Tasks must be short and pass longer work to a duty. */
public interface TimerService extends AutoCloseable {
    /** Handle to a scheduled task. */
    interface ScheduledTask {
        /** Cancels the task; a run that has started is not interrupted. */
        void cancel();
    }

    /** Returns the time source of the timers. */
    TimeSource time();

    /**
     * Runs a task once.
     *
     * @param delay the delay from now
     * @param task the task
     */
    ScheduledTask after(Duration delay, Runnable task);

    /**
     * Runs a task repeatedly, for the first time after one period.
     *
     * @param period the time from the end of one run to the start of the next
     * @param task the task; an exception is logged and does not cancel the task
     */
    ScheduledTask every(Duration period, Runnable task);

    @Override
    void close();
}
