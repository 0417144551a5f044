package org.azurearch.sidecar.admit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The answers that leave this VM over its link: those of its backend server to other nodes, and
 * those of this node to its callers. It answers the load of large answers on links that are slower
 * than the backend servers: without it requests are run whose answers cannot be sent in time.
 *
 * <p>The link is taken as a queue that sends answers in the order in which they are ready. An
 * answer counts from the moment its request is accepted, with the time at which it is expected.
 * That time is known well for an answer of the own backend server, and badly for an answer of
 * another node, which may be delayed by the link of that node.
 *
 * <p>Confined to one thread.
 */
public final class LinkLoad {
    /**
     * Bandwidth from which a link is not considered: it sends an answer of 90 KB in less than a
     * millisecond, and more of them than the processor of a VM can pass on.
     */
    private static final double UNLIMITED_MBPS = 1_000;

    /** Time constant of the load: covers twenty large answers on a link of 7 Mbit/s. */
    private static final double LOAD_MILLIS = 2_000;

    /** Load above which no request is accepted whose answer would be late, as its delay lasts. */
    private static final double MAX_LOAD_FOR_LATE = 0.9;

    /**
     * An answer that waits must be expected within this fraction of the time left to its deadline,
     * as the time is an estimate.
     */
    private static final double MAX_LATE_FRACTION = 0.6;

    /** Weight of a new answer in the moving average of a route's answer size. */
    private static final double NEW_WEIGHT = 0.05;

    /** Size assumed before a route's first answer, in bytes. */
    private static final double INITIAL_BYTES = 2_048;

    /** Limit of the routes with an average; a configuration has a few hundred. */
    private static final int MAX_ROUTES = 4_096;

    private static final double BITS_PER_BYTE = 8;
    private static final double BITS_PER_MEGABIT_MILLI = 1_000;
    private static final double NANOS_PER_MILLI = 1e6;

    /**
     * The expected answer to a request.
     *
     * @param rank the rank of its route; a lower one is more urgent
     * @param millis how long the link takes to send it
     * @param readyNanos when the link is expected to get it, on the steady clock
     * @param targetNanos when it misses its target
     * @param deadlineNanos when the caller stops waiting
     */
    public record Answer(
            int rank, double millis, long readyNanos, long targetNanos, long deadlineNanos) {}

    /** An answer that is expected and not yet handed to the link. */
    public static final class Awaited {
        private final Answer mAnswer;
        private final boolean mOwn;

        private Awaited(Answer answer, boolean own) {
            mAnswer = answer;
            mOwn = own;
        }

        private long readyNanos() {
            return mAnswer.readyNanos();
        }
    }

    private final double mMbps;
    private final double mMillisPerByte;
    private final List<Awaited> mAwaited = new ArrayList<>();
    private final Map<String, Double> mBytesByRoute = new HashMap<>();
    private long mSentUntilNanos;
    private boolean mSending;
    private double mArrivedMillis;
    private long mLastArrivalNanos;
    private long mRefused;

    /**
     * Creates the load of an unused link.
     *
     * @param mbps its bandwidth, in megabits a second; infinite if it is not limited
     */
    public LinkLoad(double mbps) {
        mMbps = mbps < UNLIMITED_MBPS ? mbps : Double.POSITIVE_INFINITY;
        mMillisPerByte = limited() ? BITS_PER_BYTE / (mMbps * BITS_PER_MEGABIT_MILLI) : 0;
    }

    /** Returns a link without a limit. */
    public static LinkLoad unlimited() {
        return new LinkLoad(Double.POSITIVE_INFINITY);
    }

    /** Returns whether the link is slow enough to be considered. */
    public boolean limited() {
        return mMbps < Double.POSITIVE_INFINITY;
    }

    /** Returns the bandwidth in megabits a second; infinite if the link is not limited. */
    public double mbps() {
        return mMbps;
    }

    /** Returns how long the link takes to send a number of bytes, in milliseconds. */
    public double sendMillis(double bytes) {
        return bytes * mMillisPerByte;
    }

    /** Returns how long the link is expected to take for an answer of a route. */
    public double answerMillis(String route) {
        return limited() ? sendMillis(mBytesByRoute.getOrDefault(route, INITIAL_BYTES)) : 0;
    }

    /**
     * Adds an answer that is handed to the link.
     *
     * @param rank the rank of its route
     */
    public void sent(String route, int rank, int bytes, long nowNanos) {
        if (!limited()) {
            return;
        }
        if (mBytesByRoute.size() >= MAX_ROUTES) {
            mBytesByRoute.clear();
        }
        mBytesByRoute.merge(route, (double) bytes, (old, now) -> old + NEW_WEIGHT * (now - old));
        sent(rank, bytes, nowNanos);
    }

    /** Adds bytes that are handed to the link and are not those of an answer. */
    public void sent(int rank, int bytes, long nowNanos) {
        if (limited()) {
            double millis = queuedMillis(nowNanos) + sendMillis(bytes);
            mSentUntilNanos = nowNanos + (long) (millis * NANOS_PER_MILLI);
            mSending = true;
        }
    }

    /** Returns how long the link takes for what was handed to it, in milliseconds. */
    public double queuedMillis(long nowNanos) {
        double millis = mSending ? (mSentUntilNanos - nowNanos) / NANOS_PER_MILLI : 0;
        mSending = millis > 0;
        return Math.max(0, millis);
    }

    /**
     * Counts the answer of an accepted request.
     *
     * @param answer the answer
     * @param own whether it is an answer of the own backend server
     * @return to be passed to {@link #release} when it is sent or will not come
     */
    public Awaited await(Answer answer, boolean own) {
        Awaited awaited = new Awaited(answer, own);
        int at = mAwaited.size();
        while (at > 0 && mAwaited.get(at - 1).readyNanos() - answer.readyNanos() > 0) {
            at--;
        }
        mAwaited.add(at, awaited);
        return awaited;
    }

    /** Removes an answer that is awaited no longer. */
    public void release(Awaited awaited) {
        mAwaited.remove(awaited);
    }

    /**
     * Returns how long an answer that is ready at a time waits for those that are ready before it,
     * in milliseconds.
     */
    public double waitMillis(long readyNanos, long nowNanos) {
        return waitMillis(readyNanos, false, nowNanos);
    }

    /** Does the same for an answer that is ready after a time. */
    public double waitMillis(double readyMillis, long nowNanos) {
        return waitMillis(nowNanos + (long) (readyMillis * NANOS_PER_MILLI), nowNanos);
    }

    private double waitMillis(long readyNanos, boolean ownOnly, long nowNanos) {
        if (!limited()) {
            return 0;
        }
        double free = queuedMillis(nowNanos);
        for (Awaited awaited : mAwaited) {
            if (awaited.readyNanos() - readyNanos > 0) {
                break;
            }
            if (awaited.mOwn || !ownOnly) {
                double ready = (awaited.readyNanos() - nowNanos) / NANOS_PER_MILLI;
                free = Math.max(free, ready) + awaited.mAnswer.millis();
            }
        }
        return Math.max(0, free - Math.max(0, (readyNanos - nowNanos) / NANOS_PER_MILLI));
    }

    /**
     * Returns whether the link can send the answer of a request that arrives in time. An answer
     * that finds the link free is always sent; whether it comes in time is for others to decide.
     *
     * <p>A request is refused if it would miss its target behind what is certain to precede it, so
     * that none is refused that could be answered in time; and if it would come close to its
     * deadline behind all that is expected, so that none is accepted in vain.
     */
    public boolean admits(Answer answer, long nowNanos) {
        if (!limited()) {
            return true;
        }
        double load = addArrival(answer.millis(), nowNanos);
        double waitMillis = waitMillis(answer.readyNanos(), nowNanos);
        double leastMillis = waitMillis(answer.readyNanos(), true, nowNanos) + answer.millis();
        boolean late = lateMillis(answer, leastMillis) > 0;
        double expectedMillis =
                (answer.readyNanos() - nowNanos) / NANOS_PER_MILLI + waitMillis + answer.millis();
        double maxMillis =
                Math.max(
                        (answer.targetNanos() - nowNanos) / NANOS_PER_MILLI,
                        (answer.deadlineNanos() - nowNanos) / NANOS_PER_MILLI * MAX_LATE_FRACTION);
        boolean admitted =
                waitMillis == 0
                        || (expectedMillis <= maxMillis && (!late || load <= MAX_LOAD_FOR_LATE));
        mRefused += admitted ? 0 : 1;
        return admitted;
    }

    /** Returns how many requests were not admitted. */
    public long refused() {
        return mRefused;
    }

    /**
     * Returns how much later than its target an answer would be sent, in milliseconds; 0 if it
     * would be sent in time.
     */
    public double excessMillis(Answer answer, long nowNanos) {
        double sending = waitMillis(answer.readyNanos(), nowNanos) + answer.millis();
        return limited() ? Math.max(0, lateMillis(answer, sending)) : 0;
    }

    private static double lateMillis(Answer answer, double sendingMillis) {
        return sendingMillis - (answer.targetNanos() - answer.readyNanos()) / NANOS_PER_MILLI;
    }

    /** Adds an arrival and returns the load with it, as a fraction of the bandwidth. */
    private double addArrival(double answerMillis, long nowNanos) {
        double millis = Math.max(0, (nowNanos - mLastArrivalNanos) / NANOS_PER_MILLI);
        mLastArrivalNanos = nowNanos;
        mArrivedMillis = mArrivedMillis * Math.exp(-millis / LOAD_MILLIS) + answerMillis;
        return mArrivedMillis / LOAD_MILLIS;
    }
}
