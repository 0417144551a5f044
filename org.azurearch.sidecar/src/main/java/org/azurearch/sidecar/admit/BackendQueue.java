package org.azurearch.sidecar.admit;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Decides which requests the backend server behind this node works on, which wait and which are
 * refused. This node is the only way to its backend server, so that the slots in use are known.
 *
 * <p>It answers a load beyond the slots. Requests that another backend server waits for go first,
 * since they hold a slot there; then the more urgent ranks; within a rank those that can still meet
 * their target, the earliest target first; then the rest. A request is refused at its arrival when
 * the work before it leaves no time for it, and while it waits as soon as that turns out.
 *
 * <p>Confined to one thread.
 *
 * @param <T> what the caller attaches to a request
 */
public final class BackendQueue<T> {
    /** What becomes of a request that arrives. */
    public enum Decision {
        /** It starts now. */
        START,
        /** It waits for a slot. */
        WAIT,
        /** It cannot be served in time. */
        REFUSE
    }

    /**
     * Part of the expected work that must still fit before a request's end: work times spread, and
     * 0.6 of the mean is what one in ten requests needs.
     */
    private static final double MIN_WORK_FRACTION = 0.6;

    /** A waiting request that may miss its target is taken up to this part of its time left. */
    private static final double MAX_LATE_WAIT_FRACTION = 0.6;

    /**
     * Beyond this load of its own and more urgent ranks, a request that would be late is passed
     * over again and again, and is refused instead.
     */
    private static final double MAX_LOAD_FOR_LATE = 0.9;

    /**
     * The most of the slots that more urgent ranks are taken to hold, so that waits stay finite.
     */
    private static final double MAX_URGENT_LOAD = 0.95;

    /** The rank under which requests that other backend servers wait for are counted. */
    private static final int BACKEND_RANK = -1;

    private static final double NANOS_PER_MILLI = 1e6;

    private record Waiting<T>(T item, QueuedRequest request) {}

    private final List<Waiting<T>> mWaiting = new ArrayList<>();
    private final RankLoad mLoad = new RankLoad();
    private double mRunningMillis;
    private int mSlots = 1;
    private int mRunning;

    /** Sets the number of requests that the backend server works on at a time. */
    public void slots(int slots) {
        mSlots = Math.max(1, slots);
    }

    /** Returns the number of requests that the backend server works on. */
    public int running() {
        return mRunning;
    }

    /** Returns the number of requests that wait. */
    public int waiting() {
        return mWaiting.size();
    }

    /**
     * Returns the number of requests that wait, by rank.
     *
     * @param ranks how many ranks are told apart; the last one holds all that are less urgent
     */
    public List<Integer> waitingByRank(int ranks) {
        Integer[] counts = new Integer[ranks];
        Arrays.fill(counts, 0);
        for (Waiting<T> waiting : mWaiting) {
            counts[Math.max(0, Math.min(waiting.request().rank(), ranks - 1))]++;
        }
        return List.of(counts);
    }

    /** Takes a request that arrives. */
    public Decision offer(T item, QueuedRequest request, long nowNanos) {
        if (leftMillis(request, nowNanos) < request.workMillis() * MIN_WORK_FRACTION) {
            return Decision.REFUSE;
        }
        int rank = request.fromBackend() ? BACKEND_RANK : request.rank();
        mLoad.addArrival(rank, request.workMillis(), nowNanos);
        if (mRunning < mSlots && mWaiting.isEmpty()) {
            occupySlot(request);
            return Decision.START;
        }
        double urgentLoad = Math.min(MAX_URGENT_LOAD, mLoad.loadUpTo(rank - 1, mSlots, nowNanos));
        double expectedMillis =
                waitMillis(request, nowNanos) / (1 - urgentLoad) + request.workMillis();
        double targetLeftMillis = (request.targetNanos() - nowNanos) / NANOS_PER_MILLI;
        if (expectedMillis > targetLeftMillis
                && !worthServingLate(request, expectedMillis, nowNanos)) {
            return Decision.REFUSE;
        }
        mWaiting.add(new Waiting<>(item, request));
        return Decision.WAIT;
    }

    /** Starts the next waiting request if a slot is free; null when there is nothing to start. */
    public @Nullable T startNext(long nowNanos) {
        if (mRunning >= mSlots || mWaiting.isEmpty()) {
            return null;
        }
        Waiting<T> best = mWaiting.get(0);
        for (Waiting<T> waiting : mWaiting) {
            if (precedes(waiting.request(), best.request(), nowNanos)) {
                best = waiting;
            }
        }
        mWaiting.remove(best);
        occupySlot(best.request());
        return best.item();
    }

    /**
     * Removes and returns waiting requests for which no time is left, or which have missed their
     * target while requests that still meet theirs keep coming and go before them.
     */
    public List<T> removeExpired(long nowNanos) {
        List<T> expired = new ArrayList<>();
        Iterator<Waiting<T>> all = mWaiting.iterator();
        while (all.hasNext()) {
            Waiting<T> waiting = all.next();
            QueuedRequest request = waiting.request();
            double needed = request.workMillis() * MIN_WORK_FRACTION;
            boolean tooLate = leftMillis(request, nowNanos) < needed;
            if (tooLate || (!meetsTarget(request, nowNanos) && starved(request, nowNanos))) {
                expired.add(waiting.item());
                all.remove();
            }
        }
        return expired;
    }

    /** Removes a waiting request that nobody waits for any more; says whether it was there. */
    public boolean cancel(T item) {
        return mWaiting.removeIf(waiting -> waiting.item() == item);
    }

    /** Removes and returns all waiting requests. */
    public List<T> removeAll() {
        List<T> items = new ArrayList<>();
        mWaiting.forEach(waiting -> items.add(waiting.item()));
        mWaiting.clear();
        return items;
    }

    /** The backend server has finished a request, or its connection is gone. */
    public void release(QueuedRequest request) {
        mRunning = Math.max(0, mRunning - 1);
        mRunningMillis = mRunning == 0 ? 0 : mRunningMillis - request.workMillis();
    }

    /** Returns how long a request would wait, behind those that go before it, in milliseconds. */
    private double waitMillis(QueuedRequest request, long nowNanos) {
        if (mRunning < mSlots && mWaiting.isEmpty()) {
            return 0;
        }
        double work = mRunningMillis;
        int ahead = 0;
        for (Waiting<T> waiting : mWaiting) {
            if (!precedes(request, waiting.request(), nowNanos)) {
                work += waiting.request().workMillis();
                ahead++;
            }
        }
        double mean = work / Math.max(1, mRunning + ahead);
        return mean * (ahead + 1) / (mSlots + 1);
    }

    /** Returns how long all that is here takes, in milliseconds. */
    public double backlogMillis() {
        double total = mRunningMillis / 2;
        for (Waiting<T> waiting : mWaiting) {
            total += waiting.request().workMillis();
        }
        return total / mSlots;
    }

    /** Says whether a request that misses its target is still likely to be answered in its time. */
    private boolean worthServingLate(QueuedRequest request, double expectedMillis, long nowNanos) {
        return !starved(request, nowNanos)
                && expectedMillis <= leftMillis(request, nowNanos) * MAX_LATE_WAIT_FRACTION;
    }

    /** Says whether those that go before a late request of its rank take all of the slots. */
    private boolean starved(QueuedRequest request, long nowNanos) {
        return mLoad.loadUpTo(request.rank(), mSlots, nowNanos) > MAX_LOAD_FOR_LATE;
    }

    private void occupySlot(QueuedRequest request) {
        mRunning++;
        mRunningMillis += request.workMillis();
    }

    private static double leftMillis(QueuedRequest request, long nowNanos) {
        return (request.deadlineNanos() - nowNanos) / NANOS_PER_MILLI;
    }

    private static boolean precedes(QueuedRequest one, QueuedRequest other, long nowNanos) {
        if (one.fromBackend() != other.fromBackend()) {
            return one.fromBackend();
        }
        if (one.rank() != other.rank()) {
            return one.rank() < other.rank();
        }
        boolean oneInTime = meetsTarget(one, nowNanos);
        if (oneInTime != meetsTarget(other, nowNanos)) {
            return oneInTime;
        }
        return one.targetNanos() - other.targetNanos() < 0;
    }

    private static boolean meetsTarget(QueuedRequest request, long nowNanos) {
        return (request.targetNanos() - nowNanos) / NANOS_PER_MILLI >= request.workMillis();
    }
}
