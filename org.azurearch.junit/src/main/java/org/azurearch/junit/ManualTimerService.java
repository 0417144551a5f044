package org.azurearch.junit;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.azurearch.time.TimeSource;
import org.azurearch.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * Timer service whose clock moves only when a test advances it. Due tasks run on the thread that
 * advances the clock, ordered by due time and then by the order of scheduling.
 */
public final class ManualTimerService implements TimerService {
    /** The wall clock at the start, in milliseconds since the epoch. */
    public static final long START_WALL_MILLIS = 1_000_000_000_000L;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final PriorityQueue<Task> mTasks =
            new PriorityQueue<>(
                    Comparator.comparingLong((Task task) -> task.mDueNanos)
                            .thenComparingLong(task -> task.mSequenceNumber));
    private final TimeSource mTime = new ManualTime();
    private long mNowNanos;
    private long mWallOffsetMillis = START_WALL_MILLIS;
    private long mNextSequenceNumber;
    private boolean mClosed;

    @Override
    public TimeSource time() {
        return mTime;
    }

    @Override
    public synchronized ScheduledTask after(Duration delay, Runnable task) {
        return add(new Task(mNowNanos + delay.toNanos(), null, task));
    }

    @Override
    public synchronized ScheduledTask every(Duration period, Runnable task) {
        return add(new Task(mNowNanos + period.toNanos(), period, task));
    }

    /**
     * Advances the clock and runs the tasks that become due, each at its due time.
     *
     * @param time the duration to advance by, zero or more
     */
    public void advance(Duration time) {
        long target = nowNanos() + time.toNanos();
        Task task = nextDue(target);
        while (task != null) {
            task.mAction.run();
            repeat(task);
            task = nextDue(target);
        }
        synchronized (this) {
            mNowNanos = target;
        }
    }

    /** Shifts the wall clock without advancing the monotonic clock. */
    public synchronized void jumpWallClock(Duration by) {
        mWallOffsetMillis += by.toMillis();
    }

    /** Returns the number of scheduled tasks. */
    public synchronized int pendingTasks() {
        return mTasks.size();
    }

    @Override
    public synchronized void close() {
        mClosed = true;
        mTasks.clear();
    }

    private ScheduledTask add(Task task) {
        if (!mClosed) {
            enqueue(task);
        }
        return () -> cancel(task);
    }

    private void enqueue(Task task) {
        task.mSequenceNumber = mNextSequenceNumber++;
        mTasks.add(task);
    }

    private synchronized void cancel(Task task) {
        task.mCancelled = true;
        mTasks.remove(task);
    }

    private synchronized @Nullable Task nextDue(long targetNanos) {
        Task first = mTasks.peek();
        if (first == null || first.mDueNanos > targetNanos) {
            return null;
        }
        mTasks.remove();
        mNowNanos = Math.max(mNowNanos, first.mDueNanos);
        return first;
    }

    private synchronized void repeat(Task task) {
        Duration period = task.mPeriod;
        if (period != null && !task.mCancelled && !mClosed) {
            task.mDueNanos = mNowNanos + period.toNanos();
            enqueue(task);
        }
    }

    private synchronized long nowNanos() {
        return mNowNanos;
    }

    private final class ManualTime implements TimeSource {
        @Override
        public long nanos() {
            return nowNanos();
        }

        @Override
        public long wallMillis() {
            synchronized (ManualTimerService.this) {
                return mWallOffsetMillis + mNowNanos / NANOS_PER_MILLI;
            }
        }
    }

    private static final class Task {
        private final @Nullable Duration mPeriod;
        private final Runnable mAction;
        private long mDueNanos;
        private long mSequenceNumber;
        private boolean mCancelled;

        Task(long dueNanos, @Nullable Duration period, Runnable action) {
            mDueNanos = dueNanos;
            mPeriod = period;
            mAction = action;
        }
    }
}
