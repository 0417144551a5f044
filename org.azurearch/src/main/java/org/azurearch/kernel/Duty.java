package org.azurearch.kernel;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.azurearch.events.EventLog;
import org.jctools.queues.MpmcArrayQueue;

/**
 * A thread that handles the messages of one decision, with a bounded ring in front of it. Messages
 * are handled one at a time in order of arrival. Methods are safe on any thread.
 *
 * <p>The metrics {@code ring.NAME.depth}, {@code ring.NAME.capacity} and {@code ring.NAME.rejected}
 * report the state of the ring.
 *
 * @param <M> the type of message
 */
public final class Duty<M> implements AutoCloseable {
    private static final long PARK_NANOS = 50_000_000L;
    private static final long FULL_EVENT_PERIOD_NANOS = 1_000_000_000L;
    private static final long STOP_JOIN_MILLIS = 5_000L;

    private final String mName;
    private final MpmcArrayQueue<M> mRing;
    private final OverflowRule mOverflowRule;
    private final Consumer<M> mHandler;
    private final Counter mRejected;
    private final AtomicLong mLastFullEventNanos =
            new AtomicLong(System.nanoTime() - FULL_EVENT_PERIOD_NANOS);
    private final Thread mThread;
    private volatile boolean mStopped;

    /**
     * Creates a duty and starts its thread.
     *
     * @param name the name of the thread and the ring
     * @param capacity the maximum number of messages in the ring; rounded up to a power of two
     * @param overflowRule what to do with a message when the ring is full
     * @param metrics the registry that the metrics of the ring are added to
     * @param handler handles a message; an exception is logged and the next message handled
     */
    public Duty(
            String name,
            int capacity,
            OverflowRule overflowRule,
            MetricRegistry metrics,
            Consumer<M> handler) {
        mName = name;
        mRing = new MpmcArrayQueue<>(Math.max(2, capacity));
        mOverflowRule = overflowRule;
        mHandler = handler;
        mRejected = metrics.counter("ring." + name + ".rejected");
        metrics.gauge("ring." + name + ".depth", () -> (Gauge<Integer>) mRing::size);
        metrics.gauge("ring." + name + ".capacity", () -> (Gauge<Integer>) mRing::capacity);
        mThread = new Thread(this::run, "azurearch-" + name);
        mThread.setDaemon(true);
        mThread.start();
    }

    /**
     * Adds a message to the ring without blocking.
     *
     * @return whether the message was added; always true under {@link OverflowRule#DROP_OLDEST}
     *     until the duty is closed
     */
    public boolean offer(M message) {
        if (mStopped) {
            return false;
        }
        while (!mRing.offer(message)) {
            countRejected();
            if (mOverflowRule == OverflowRule.REJECT_NEWEST) {
                return false;
            }
            mRing.poll();
        }
        LockSupport.unpark(mThread);
        return true;
    }

    /** Returns the number of messages in the ring. */
    public int depth() {
        return mRing.size();
    }

    /** Stops the thread after the current message; messages in the ring are dropped. */
    @Override
    public void close() {
        mStopped = true;
        LockSupport.unpark(mThread);
        if (Thread.currentThread() == mThread) {
            return;
        }
        try {
            mThread.join(STOP_JOIN_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        while (!mStopped) {
            M message = mRing.poll();
            if (message == null) {
                LockSupport.parkNanos(PARK_NANOS);
            } else {
                handle(message);
            }
        }
    }

    private void handle(M message) {
        try {
            mHandler.accept(message);
        } catch (RuntimeException e) {
            EventLog.log(KernelEvent.DUTY_FAILED, e, mName, e.toString());
        }
    }

    private void countRejected() {
        mRejected.inc();
        long now = System.nanoTime();
        long last = mLastFullEventNanos.get();
        if (now - last >= FULL_EVENT_PERIOD_NANOS && mLastFullEventNanos.compareAndSet(last, now)) {
            EventLog.log(KernelEvent.RING_FULL, mName, mRejected.getCount());
        }
    }
}
