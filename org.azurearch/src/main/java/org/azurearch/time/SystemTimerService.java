package org.azurearch.time;

import java.time.Duration;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.azurearch.events.EventLog;
import org.azurearch.kernel.KernelEvent;

/** Timer service on one daemon thread and the machine's clocks. */
public final class SystemTimerService implements TimerService {
    private static final Subscription NONE = () -> {};

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
    public Subscription after(Duration delay, Runnable task) {
        try {
            return cancelling(
                    mExecutor.schedule(guarded(task), delay.toNanos(), TimeUnit.NANOSECONDS));
        } catch (RejectedExecutionException e) {
            return NONE;
        }
    }

    @Override
    public Subscription every(Duration period, Runnable task) {
        try {
            return cancelling(
                    mExecutor.scheduleWithFixedDelay(
                            guarded(task),
                            period.toNanos(),
                            period.toNanos(),
                            TimeUnit.NANOSECONDS));
        } catch (RejectedExecutionException e) {
            return NONE;
        }
    }

    @Override
    public void close() {
        mExecutor.shutdownNow();
    }

    private static Subscription cancelling(ScheduledFuture<?> future) {
        return () -> future.cancel(false);
    }

    private static Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                EventLog.log(KernelEvent.TIMER_TASK_FAILED, e, e.toString());
            }
        };
    }
}
