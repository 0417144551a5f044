package org.azurearch.time;

import java.time.Duration;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.azurearch.events.EventLog;
import org.azurearch.kernel.KernelEvent;

/** Timer service that uses one daemon thread and the system clocks. Thread-safe. */
public final class SystemTimerService implements TimerService {
    private static final ScheduledTask NOT_SCHEDULED = () -> {};

    private final TimeSource mTime = new SystemTimeSource();
    private final ScheduledThreadPoolExecutor mExecutor;

    /** Starts the timer thread. */
    public SystemTimerService() {
        mExecutor =
                new ScheduledThreadPoolExecutor(
                        1,
                        task -> {
                            Thread thread = new Thread(task, "azurearch-timer");
                            thread.setDaemon(true);
                            return thread;
                        });
        mExecutor.setRemoveOnCancelPolicy(true);
    }

    @Override
    public TimeSource time() {
        return mTime;
    }

    @Override
    public ScheduledTask after(Duration delay, Runnable task) {
        try {
            return handleOf(
                    mExecutor.schedule(
                            loggingFailures(task), delay.toNanos(), TimeUnit.NANOSECONDS));
        } catch (RejectedExecutionException e) {
            return NOT_SCHEDULED;
        }
    }

    @Override
    public ScheduledTask every(Duration period, Runnable task) {
        try {
            return handleOf(
                    mExecutor.scheduleWithFixedDelay(
                            loggingFailures(task),
                            period.toNanos(),
                            period.toNanos(),
                            TimeUnit.NANOSECONDS));
        } catch (RejectedExecutionException e) {
            return NOT_SCHEDULED;
        }
    }

    @Override
    public void close() {
        mExecutor.shutdownNow();
    }

    private static ScheduledTask handleOf(ScheduledFuture<?> future) {
        return () -> future.cancel(false);
    }

    private static Runnable loggingFailures(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                EventLog.log(KernelEvent.TIMER_TASK_FAILED, e, e.toString());
            }
        };
    }
}
