package org.azurearch.sidecar.admit;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Decides which requests the backend server behind this node runs, which wait and which are
 * refused. All requests to the backend server pass through its node, so that the slots in use are
 * known.
 *
 * <p>When requests exceed the slots, those that another backend server waits for come first, since
 * they hold a slot there; then the more urgent ranks; within a rank those that can still meet their
 * target, the earliest target first; then the rest. A request is refused on arrival if the work
 * ahead of it leaves too little time, and while it waits as soon as that becomes clear.
 *
 * <p>A request beyond the fair share of its client account comes after those of its rank that are
 * within theirs, so that an account that sends too much bears the cost itself.
 *
 * <p>A backend server may limit its requests a second; then a request also waits for its turn
 * within the limit, and what does not fit is refused in the same way.
 *
 * <p>A request whose answer the link of the VM cannot send in time is refused as well, less urgent
 * ones before more urgent ones.
 *
 * <p>Confined to one thread.
 *
 * @param <T> the type of the object that is attached to a request
 */
public final class BackendQueue<T> {
    /** The decision about a request that arrives. */
    public enum Decision {
        /** It starts now. */
        START,
        /** It waits for a slot. */
        WAIT,
        /** It cannot be served in time. */
        REFUSE
    }

    /** Why a request was refused on arrival, for log lines. */
    private enum Reason {
        /** Too little time was left to its deadline. */
        DEADLINE,
        /** The link of the VM could not send its answer in time. */
        LINK,
        /** All slots were taken, and it would have waited for too long. */
        SLOTS,
        /** A slot was free, but the limit of starts a second made it wait for too long. */
        LIMIT
    }

    /**
     * Fraction of the expected work that must still fit before a request's deadline. Work times
     * vary, and one request in ten needs no more than 0.6 of the mean.
     */
    private static final double MIN_WORK_FRACTION = 0.6;

    /**
     * Time before its deadline at which a waiting request is refused at the latest, in
     * milliseconds. Waiting requests are looked at every 25 ms; 15 ms remain for the refusal to
     * reach the node that answers the caller. Without it, that node cannot tell a request that has
     * waited to the end from one that runs, and has to answer that it may have run.
     */
    private static final double MIN_NOTICE_MILLIS = 40;

    /**
     * A request that would miss its target is queued if it is expected to take at most this
     * fraction of the time left to its deadline.
     */
    private static final double MAX_LATE_WAIT_FRACTION = 0.6;

    /**
     * Load of its own and more urgent ranks above which a request that would miss its target is
     * refused, as others would overtake it again and again.
     */
    private static final double MAX_LOAD_FOR_LATE = 0.9;

    /** Largest load of more urgent ranks that is assumed, so that expected waits stay finite. */
    private static final double MAX_URGENT_LOAD = 0.95;

    /** Time constant of the load: covers ten requests and is short against a caller's timeout. */
    private static final double LOAD_MILLIS = 500;

    /** The rank of requests from other backend servers. */
    private static final int BACKEND_RANK = -1;

    private static final double NANOS_PER_MILLI = 1e6;

    /**
     * A request that waits.
     *
     * @param level its rank and, within that, whether it is beyond its account's fair share; a
     *     lower level comes first
     */
    private record Waiting<T>(T item, QueuedRequest request, int level) {}

    private final List<Waiting<T>> mWaiting = new ArrayList<>();
    private final RankLoad mLoad = new RankLoad(LOAD_MILLIS);
    private final Map<Integer, FairShare> mShares = new HashMap<>();
    private StartRate mStartRate = new StartRate();
    private final LinkLoad mLink;
    private final Map<QueuedRequest, LinkLoad.Awaited> mAwaited = new IdentityHashMap<>();
    private double mRunningMillis;
    private int mSlots = 1;
    private int mRunning;
    private @Nullable Reason mLastReason;

    /** Creates an empty queue on a VM whose link is not limited. */
    public BackendQueue() {
        this(LinkLoad.unlimited());
    }

    /**
     * Creates an empty queue.
     *
     * @param link the link over which answers leave the VM
     */
    public BackendQueue(LinkLoad link) {
        mLink = link;
    }

    /** Sets the number of requests that the backend server runs concurrently. */
    public void setSlots(int slots) {
        mSlots = Math.max(1, slots);
    }

    /**
     * Limits how many requests a second are started.
     *
     * @param perSecond the limit; negative for none
     */
    public void limitStarts(double perSecond, long nowNanos) {
        mStartRate.limit(perSecond, nowNanos);
    }

    /** Returns the number of requests that the backend server is running. */
    public int running() {
        return mRunning;
    }

    /** Returns the number of waiting requests. */
    public int waiting() {
        return mWaiting.size();
    }

    /**
     * Returns the number of waiting requests by rank.
     *
     * @param ranks how many ranks are distinguished; the last number includes all less urgent ones
     */
    public List<Integer> waitingByRank(int ranks) {
        Integer[] counts = new Integer[ranks];
        Arrays.fill(counts, 0);
        for (Waiting<T> waiting : mWaiting) {
            counts[Math.max(0, Math.min(waiting.request().rank(), ranks - 1))]++;
        }
        return List.of(counts);
    }

    /** Admits, queues or refuses a request that arrives. */
    public Decision offer(T item, QueuedRequest request, long nowNanos) {
        if (leftMillis(request, nowNanos) < leastMillis(request)) {
            return refuse(Reason.DEADLINE);
        }
        if (request.answerMillis() > 0 && !linkAdmits(request, nowNanos)) {
            return refuse(Reason.LINK);
        }
        int rank = rank(request);
        FairShare shares = mShares.computeIfAbsent(rank, key -> new FairShare());
        int level = 2 * rank + (shares.beyond(request, nowNanos) ? 1 : 0);
        Waiting<T> arrival = new Waiting<>(item, request, level);
        mLoad.addArrival(level, request.workMillis(), nowNanos);
        if (mRunning < mSlots && mWaiting.isEmpty() && mStartRate.tryStart(nowNanos)) {
            awaitAnswer(request, nowNanos);
            shares.admitted(request);
            occupySlot(request);
            return Decision.START;
        }
        double urgentLoad =
                Math.min(
                        MAX_URGENT_LOAD, mLoad.loadUpTo(2 * rank - 1, capacity(request), nowNanos));
        double expectedMillis =
                waitMillis(request, level, nowNanos) / (1 - urgentLoad) + neededMillis(request);
        double targetLeftMillis = (request.targetNanos() - nowNanos) / NANOS_PER_MILLI;
        if (expectedMillis > targetLeftMillis
                && !worthServingLate(arrival, expectedMillis, nowNanos)) {
            return refuse(mRunning < mSlots ? Reason.LIMIT : Reason.SLOTS);
        }
        if (leftMillis(request, nowNanos) < leastWaitingMillis(request)) {
            return refuse(Reason.DEADLINE);
        }
        awaitAnswer(request, nowNanos);
        shares.admitted(request);
        mWaiting.add(arrival);
        return Decision.WAIT;
    }

    /**
     * Starts the next waiting request and returns it, or null if none waits, no slot is free or the
     * limit allows none now.
     */
    public @Nullable T startNext(long nowNanos) {
        if (mRunning >= mSlots || mWaiting.isEmpty() || !mStartRate.tryStart(nowNanos)) {
            return null;
        }
        Waiting<T> best = mWaiting.get(0);
        for (Waiting<T> waiting : mWaiting) {
            if (precedes(waiting.request(), waiting.level(), best, nowNanos)) {
                best = waiting;
            }
        }
        mWaiting.remove(best);
        occupySlot(best.request());
        return best.item();
    }

    /**
     * Removes and returns waiting requests that have too little time left, or that can no longer
     * meet their target and are overtaken again and again by requests that can.
     */
    public List<T> removeExpired(long nowNanos) {
        List<T> expired = new ArrayList<>();
        Iterator<Waiting<T>> all = mWaiting.iterator();
        while (all.hasNext()) {
            Waiting<T> waiting = all.next();
            QueuedRequest request = waiting.request();
            boolean tooLate = leftMillis(request, nowNanos) < leastWaitingMillis(request);
            if (tooLate || (!meetsTarget(request, nowNanos) && starved(waiting, nowNanos))) {
                dropped(request);
                expired.add(waiting.item());
                all.remove();
                releaseAnswer(request);
            }
        }
        return expired;
    }

    /** Removes a request whose caller no longer waits; returns whether it was in the queue. */
    public boolean cancel(T item) {
        for (Waiting<T> waiting : mWaiting) {
            if (waiting.item() == item) {
                releaseAnswer(waiting.request());
                dropped(waiting.request());
                return mWaiting.remove(waiting);
            }
        }
        return false;
    }

    /** Ends the limit, as another backend server has taken the place of the one that named it. */
    public void endLimit() {
        mStartRate = new StartRate();
    }

    /** Removes and returns the waiting requests that match. */
    public List<T> removeIf(Predicate<T> matches) {
        List<T> removed = new ArrayList<>();
        Iterator<Waiting<T>> all = mWaiting.iterator();
        while (all.hasNext()) {
            Waiting<T> waiting = all.next();
            if (matches.test(waiting.item())) {
                all.remove();
                dropped(waiting.request());
                releaseAnswer(waiting.request());
                removed.add(waiting.item());
            }
        }
        return removed;
    }

    /** Frees the slot of a request that has ended or whose connection is lost. */
    public void release(QueuedRequest request) {
        releaseAnswer(request);
        mRunning = Math.max(0, mRunning - 1);
        mRunningMillis = mRunning == 0 ? 0 : mRunningMillis - request.workMillis();
    }

    /** Returns how long a request would wait behind those that precede it, in milliseconds. */
    private double waitMillis(QueuedRequest request, int level, long nowNanos) {
        if (mRunning < mSlots && mWaiting.isEmpty()) {
            return mStartRate.millisUntil(1, nowNanos);
        }
        double work = mRunningMillis;
        int ahead = 0;
        for (Waiting<T> waiting : mWaiting) {
            if (!precedes(request, level, waiting, nowNanos)) {
                work += waiting.request().workMillis();
                ahead++;
            }
        }
        double mean = work / Math.max(1, mRunning + ahead);
        return Math.max(
                mean * (ahead + 1) / (mSlots + 1), mStartRate.millisUntil(ahead + 1, nowNanos));
    }

    /**
     * Returns how long until one more request may start within the limit, after all that wait, in
     * milliseconds; 0 without a limit.
     */
    public double startWaitMillis(long nowNanos) {
        return mStartRate.millisUntil(mWaiting.size() + 1, nowNanos);
    }

    /** Returns how long all running and waiting requests will take, in milliseconds. */
    public double backlogMillis(long nowNanos) {
        double total = mRunningMillis / 2;
        for (Waiting<T> waiting : mWaiting) {
            total += waiting.request().workMillis();
        }
        return Math.max(total / mSlots, startWaitMillis(nowNanos));
    }

    /** Returns after which time a refused request could be admitted, in milliseconds. */
    public double retryMillis(QueuedRequest request, long nowNanos) {
        return Math.max(backlogMillis(nowNanos), linkExcessMillis(request, nowNanos));
    }

    /**
     * Returns why the request refused last was refused and the load that it meets, for log lines.
     *
     * @param request that request
     */
    public String describe(QueuedRequest request, long nowNanos) {
        String reason = mLastReason == null ? "none" : mLastReason.name().toLowerCase(Locale.ROOT);
        String load = "reason=" + reason + " waiting=" + waiting() + " running=" + running();
        return request.answerMillis() > 0
                ? load + " link_excess_ms=" + (long) linkExcessMillis(request, nowNanos)
                : load;
    }

    private Decision refuse(Reason reason) {
        mLastReason = reason;
        return Decision.REFUSE;
    }

    /** Returns how much later than its target the link would send the answer to a request. */
    private double linkExcessMillis(QueuedRequest request, long nowNanos) {
        return request.answerMillis() > 0
                ? mLink.excessMillis(answer(request, nowNanos), nowNanos)
                : 0;
    }

    /** Returns the expected answer to a request that arrives. */
    private LinkLoad.Answer answer(QueuedRequest request, long nowNanos) {
        double millis = waitMillis(request, 2 * rank(request), nowNanos) + request.workMillis();
        return new LinkLoad.Answer(
                rank(request),
                request.answerMillis(),
                nowNanos + (long) (millis * NANOS_PER_MILLI),
                request.targetNanos(),
                request.deadlineNanos());
    }

    private void awaitAnswer(QueuedRequest request, long nowNanos) {
        if (request.answerMillis() > 0) {
            mAwaited.put(request, mLink.await(answer(request, nowNanos), true));
        }
    }

    private void releaseAnswer(QueuedRequest request) {
        LinkLoad.Awaited awaited = request.answerMillis() > 0 ? mAwaited.remove(request) : null;
        if (awaited != null) {
            mLink.release(awaited);
        }
    }

    private boolean linkAdmits(QueuedRequest request, long nowNanos) {
        return mLink.admits(answer(request, nowNanos), nowNanos);
    }

    /**
     * Returns whether a request that misses its target is likely to be answered by its deadline.
     */
    private boolean worthServingLate(Waiting<T> arrival, double expectedMillis, long nowNanos) {
        return !starved(arrival, nowNanos)
                && expectedMillis
                        <= leftMillis(arrival.request(), nowNanos) * MAX_LATE_WAIT_FRACTION;
    }

    /** Returns whether requests that precede a late request of its level take all slots. */
    private boolean starved(Waiting<T> waiting, long nowNanos) {
        double capacity = capacity(waiting.request());
        return mLoad.loadUpTo(waiting.level(), capacity, nowNanos) > MAX_LOAD_FOR_LATE;
    }

    /** Returns the number of slots that requests like the given one can keep busy. */
    private double capacity(QueuedRequest request) {
        return mStartRate.limited()
                ? Math.min(mSlots, mStartRate.perSecond() * request.workMillis() / 1_000)
                : mSlots;
    }

    private void occupySlot(QueuedRequest request) {
        FairShare shares = mShares.get(rank(request));
        if (shares != null) {
            shares.started(request);
        }
        mRunning++;
        mRunningMillis += request.workMillis();
    }

    /** Returns how much time a waiting request must have left. */
    private static double leastWaitingMillis(QueuedRequest request) {
        return Math.max(MIN_NOTICE_MILLIS, leastMillis(request));
    }

    private void dropped(QueuedRequest request) {
        FairShare shares = mShares.get(rank(request));
        if (shares != null) {
            shares.dropped(request);
        }
    }

    private static int rank(QueuedRequest request) {
        return request.fromBackend() ? BACKEND_RANK : request.rank();
    }

    private static double leftMillis(QueuedRequest request, long nowNanos) {
        return (request.deadlineNanos() - nowNanos) / NANOS_PER_MILLI;
    }

    private static boolean precedes(QueuedRequest one, int level, Waiting<?> other, long nowNanos) {
        if (level != other.level()) {
            return level < other.level();
        }
        boolean oneInTime = meetsTarget(one, nowNanos);
        if (oneInTime != meetsTarget(other.request(), nowNanos)) {
            return oneInTime;
        }
        return one.targetNanos() - other.request().targetNanos() < 0;
    }

    private static boolean meetsTarget(QueuedRequest request, long nowNanos) {
        return (request.targetNanos() - nowNanos) / NANOS_PER_MILLI >= neededMillis(request);
    }

    /** Returns how long a request is expected to take from its start until its answer has left. */
    private static double neededMillis(QueuedRequest request) {
        return request.workMillis() + request.answerMillis();
    }

    /** Returns the time that must be left to a request's deadline for it to be started. */
    private static double leastMillis(QueuedRequest request) {
        return request.workMillis() * MIN_WORK_FRACTION + request.answerMillis();
    }
}
