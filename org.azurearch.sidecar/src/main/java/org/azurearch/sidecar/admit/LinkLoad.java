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
 * <p>A request is not refused for less urgent answers: these are admitted only as far as more
 * urgent ones still come in time behind them. Answers share the link as their connections do, so
 * that a small one hardly waits for large ones; that limit holds even if it has to wait for all.
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

    /** Largest load of more urgent ranks that is assumed, so that expected waits stay finite. */
    private static final double MAX_URGENT_LOAD = 0.95;

    /**
     * Fraction of the time for which more urgent answers may wait that less urgent ones may take,
     * as the times are estimates.
     */
    private static final double MAX_DELAY_FRACTION = 0.6;

    private static final int LEAST_URGENT = Integer.MAX_VALUE;

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
    private final LinkBacklog mBacklog = new LinkBacklog();
    private final RankLoad mLoad = new RankLoad(LOAD_MILLIS);
    private final RankSlack mSlack = new RankSlack();
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
            mBacklog.add(rank, sendMillis(bytes), nowNanos);
        }
    }

    /** Returns how long the link takes for what was handed to it, in milliseconds. */
    public double queuedMillis(long nowNanos) {
        return mBacklog.totalMillis(nowNanos);
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
        return waitMillis(LEAST_URGENT, readyNanos, false, nowNanos);
    }

    /** Does the same for an answer that is ready after a time. */
    public double waitMillis(double readyMillis, long nowNanos) {
        return waitMillis(nowNanos + (long) (readyMillis * NANOS_PER_MILLI), nowNanos);
    }

    private double waitMillis(int rank, long readyNanos, boolean ownOnly, long nowNanos) {
        if (!limited()) {
            return 0;
        }
        double free = mBacklog.millis(rank, nowNanos);
        for (Awaited awaited : mAwaited) {
            if (awaited.readyNanos() - readyNanos > 0) {
                break;
            }
            if (awaited.mAnswer.rank() <= rank && (awaited.mOwn || !ownOnly)) {
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
     * deadline behind all that is expected, so that none is accepted in vain. Only what is at least
     * as urgent precedes it.
     *
     * <p>It is also refused if more urgent answers that are in demand could not wait for it and for
     * what precedes it.
     */
    public boolean admits(Answer answer, long nowNanos) {
        if (!limited()) {
            return true;
        }
        mLoad.addArrival(answer.rank(), answer.millis(), nowNanos);
        mSlack.addArrival(answer.rank(), -lateMillis(answer, answer.millis()), nowNanos);
        double waitMillis = waitMillis(answer, false, nowNanos);
        boolean admitted =
                waitMillis == 0
                        || (expectedBeforeDeadline(answer, waitMillis, nowNanos)
                                && !certainlyLate(answer, nowNanos)
                                && delayMillis(answer, waitMillis, nowNanos) <= 0);
        mRefused += admitted ? 0 : 1;
        return admitted;
    }

    /** Returns how many requests were not admitted. */
    public long refused() {
        return mRefused;
    }

    /**
     * Returns how much later than its target an answer would be sent, or how much later a more
     * urgent one behind it, in milliseconds; 0 if both would be sent in time.
     */
    public double excessMillis(Answer answer, long nowNanos) {
        if (!limited()) {
            return 0;
        }
        double waitMillis = waitMillis(answer, false, nowNanos);
        double lateMillis = lateMillis(answer, sendingMillis(answer, waitMillis, nowNanos));
        return Math.max(0, Math.max(lateMillis, delayMillis(answer, waitMillis, nowNanos)));
    }

    private boolean expectedBeforeDeadline(Answer answer, double waitMillis, long nowNanos) {
        double expectedMillis =
                (answer.readyNanos() - nowNanos) / NANOS_PER_MILLI
                        + sendingMillis(answer, waitMillis, nowNanos);
        double maxMillis =
                Math.max(
                        (answer.targetNanos() - nowNanos) / NANOS_PER_MILLI,
                        (answer.deadlineNanos() - nowNanos) / NANOS_PER_MILLI * MAX_LATE_FRACTION);
        return expectedMillis <= maxMillis;
    }

    /** Returns whether an answer would miss its target, on a link that has no time for such. */
    private boolean certainlyLate(Answer answer, long nowNanos) {
        return mLoad.loadUpTo(answer.rank(), 1, nowNanos) > MAX_LOAD_FOR_LATE
                && lateMillis(answer, waitMillis(answer, true, nowNanos) + answer.millis()) > 0;
    }

    private double waitMillis(Answer answer, boolean ownOnly, long nowNanos) {
        return waitMillis(answer.rank(), answer.readyNanos(), ownOnly, nowNanos);
    }

    /** Returns how long an answer takes to leave, beside more urgent ones that arrive meanwhile. */
    private double sendingMillis(Answer answer, double waitMillis, long nowNanos) {
        double urgentLoad =
                Math.min(MAX_URGENT_LOAD, mLoad.loadUpTo(answer.rank() - 1, 1, nowNanos));
        return waitMillis / (1 - urgentLoad) + answer.millis();
    }

    /** Returns how much too late more urgent answers would be that wait for an answer. */
    private double delayMillis(Answer answer, double waitMillis, long nowNanos) {
        double maxMillis = mSlack.leastAbove(answer.rank(), nowNanos) * MAX_DELAY_FRACTION;
        return waitMillis + answer.millis() - maxMillis;
    }

    private static double lateMillis(Answer answer, double sendingMillis) {
        return sendingMillis - (answer.targetNanos() - answer.readyNanos()) / NANOS_PER_MILLI;
    }
}
