package org.azurearch.internal.call;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.azurearch.time.TimeSource;

/**
 * Bounds the memory that the heads of requests take at a node, from the first line that is read
 * until the request is answered. A short header line takes over fifty times its size on the wire,
 * so that limits on the size of a head and on the number of connections do not bound it.
 *
 * <p>Small requests may use all of it, larger ones half, so that callers with large heads leave
 * room for ordinary requests. Thread-safe.
 */
public final class RequestMemory {
    /** Is told of refusals. */
    public interface Listener {
        /**
         * Called at a refusal, at most once a second.
         *
         * @param refused the requests that were refused since the last call
         * @param heldBytes the memory in use
         */
        void refused(long refused, long heldBytes);
    }

    /** Fraction of the heap for requests if the settings name no limit. */
    private static final double HEAP_FRACTION = 1.0 / 6;

    /** Fraction of the memory for requests larger than {@link #SMALL_BYTES}. */
    private static final double LARGE_FRACTION = 0.5;

    /** Most requests have fewer than a hundred header lines and need less. */
    private static final int SMALL_BYTES = 32 * 1024;

    /** Memory of a header line at all stages of a call, without its characters. */
    private static final int LINE_BYTES = 256;

    /** Copies of each character: in the decoder, in the list to forward and in the frame. */
    private static final int COPIES = 4;

    /** Memory that a request takes at a time, so that most take it once. */
    private static final int STEP_BYTES = 4 * 1024;

    private final long mMaxBytes;
    private final LongSupplier mNanos;
    private final Listener mListener;
    private long mHeldBytes;
    private long mLargeBytes;
    private long mRefused;
    private long mReported;
    private long mReportedNanos;

    /**
     * Creates unused memory.
     *
     * @param maxBytes the limit in bytes; 0 for a sixth of the heap
     * @param time the steady clock
     * @param listener is told of refusals
     */
    public RequestMemory(long maxBytes, TimeSource time, Listener listener) {
        mMaxBytes =
                maxBytes > 0 ? maxBytes : (long) (HEAP_FRACTION * Runtime.getRuntime().maxMemory());
        mNanos = time::nanos;
        mListener = listener;
        mReportedNanos = time.nanos() - TimeUnit.SECONDS.toNanos(1);
    }

    /** Registers the metrics of the memory in use and of the refusals. */
    public void register(MetricRegistry metrics) {
        metrics.gauge("requests.memory-bytes", () -> (Gauge<Long>) this::heldBytes);
        metrics.gauge("requests.memory-refused", () -> (Gauge<Long>) this::refused);
    }

    /** Returns the share of one request, which is empty. */
    public Lease lease() {
        return new Lease();
    }

    /** Returns the memory that a header line takes, in bytes. */
    public static long lineBytes(CharSequence name, CharSequence value) {
        return LINE_BYTES + (long) COPIES * (name.length() + value.length());
    }

    /** Returns the memory in use, in bytes. */
    public synchronized long heldBytes() {
        return mHeldBytes;
    }

    /** Returns the number of requests that were refused. */
    public synchronized long refused() {
        return mRefused;
    }

    /** Takes memory for a request that holds some already; returns false if there is none. */
    private boolean tryTake(long heldBytes, long bytes) {
        synchronized (this) {
            long large = heldBytes + bytes > SMALL_BYTES ? largePart(heldBytes) + bytes : 0;
            boolean allowed =
                    mHeldBytes + bytes <= mMaxBytes
                            && (large == 0 || mLargeBytes + large <= LARGE_FRACTION * mMaxBytes);
            if (allowed) {
                mHeldBytes += bytes;
                mLargeBytes += large;
                return true;
            }
            return false;
        }
    }

    /** Returns what a request adds once it is large: all that it holds, if it was small before. */
    private static long largePart(long heldBytes) {
        return heldBytes > SMALL_BYTES ? 0 : heldBytes;
    }

    private synchronized void giveBack(long bytes) {
        mHeldBytes -= bytes;
        mLargeBytes -= bytes > SMALL_BYTES ? bytes : 0;
    }

    private void recordRefusal() {
        long refused;
        long held;
        synchronized (this) {
            mRefused++;
            long now = mNanos.getAsLong();
            if (now - mReportedNanos < TimeUnit.SECONDS.toNanos(1)) {
                return;
            }
            mReportedNanos = now;
            refused = mRefused - mReported;
            mReported = mRefused;
            held = mHeldBytes;
        }
        mListener.refused(refused, held);
    }

    /** The memory of one request. Confined to one thread. */
    public final class Lease {
        private long mUsedBytes;
        private long mTakenBytes;
        private boolean mReleased;

        /** Adds memory; returns false, and adds nothing, if there is none. */
        public boolean tryAdd(long bytes) {
            long missing = mUsedBytes + bytes - mTakenBytes;
            if (missing > 0 && !mReleased) {
                long steps = (missing + STEP_BYTES - 1) / STEP_BYTES;
                if (!tryTake(mTakenBytes, steps * STEP_BYTES)) {
                    return false;
                }
                mTakenBytes += steps * STEP_BYTES;
            }
            mUsedBytes += bytes;
            return true;
        }

        /** Records that the request is refused for want of memory, and returns the reason. */
        public RequestMemoryException refusal() {
            recordRefusal();
            return new RequestMemoryException();
        }

        /** Returns the memory that the request takes, in bytes. */
        public long bytes() {
            return mUsedBytes;
        }

        /** Gives all memory back, as the request has ended; has no effect if repeated. */
        public void release() {
            if (!mReleased) {
                mReleased = true;
                giveBack(mTakenBytes);
            }
        }
    }
}
