package org.azurearch.sidecar.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.azurearch.lib.NetAddress;
import org.azurearch.sidecar.admit.BackendQueue;
import org.azurearch.sidecar.admit.QueuedRequest;
import org.azurearch.sidecar.member.BackendRecord;
import org.azurearch.sidecar.member.NodeRecord;
import org.jspecify.annotations.Nullable;

/**
 * 67 nodes in three data centres on a manual clock, with demand that swings and servers of uneven
 * speed. Arrivals, work and slow servers depend on the seed only, so that policies meet the same
 * load. Nested calls are modelled as requests of their own.
 */
final class UnevenLoadModel {
    private static final double MILLI = 1e6;
    private static final double NEAR_MILLIS = 0.2;
    private static final double FAR_MILLIS = 0.9;
    private static final int SLOTS = 13;
    private static final int MAX_ATTEMPTS = 4;
    private static final int[][] SERVERS = {{14, 7, 3}, {4, 9, 3}, {5, 6, 12}, {2, 1, 1}};
    private static final double SLOW_SHARE = 0.15;
    private static final double SLOW_FACTOR = 2.5;
    private static final double SLOW_MILLIS = 4_000;
    private static final double CUT_FROM = 20_000;
    private static final double CUT_MILLIS = 5_000;
    private static final double CUT_NOTICED_MILLIS = 300;
    private static final double BURST_EVERY = 5_000;
    private static final double BURST_MILLIS = 1_500;

    /** Kinds of requests: the rank is that among the kinds of one service. */
    enum Kind {
        VIEW(0, 1, 593, 206, 827, 2_007),
        CONFIRM(1, 0, 165, 279, 838, 2_013),
        CONFIRM_AT_BOARDS(0, 0, 53, 279, 838, 2_013),
        HISTORY(2, 2, 242, 537, 1_570, 4_020),
        OFFER(3, 1, 83.5, 175, 623, 1_507),
        CHECK(2, 1, 415, 62.9, 259, 810);

        private final int mService;
        private final int mRank;
        private final double mPerSecond;
        private final double mWork;
        private final double mTarget;
        private final double mDeadline;

        Kind(int service, int rank, double perSecond, double work, double target, double end) {
            mService = service;
            mRank = rank;
            mPerSecond = perSecond;
            mWork = work;
            mTarget = target;
            mDeadline = end;
        }
    }

    /** Chooses an endpoint for a request, or null to refuse it. */
    interface Policy {
        /** Returns the endpoint for an attempt at an entry node. */
        @Nullable EndpointState choose(
                Entry entry, EndpointSelector.Request request, long nowNanos);

        /** Observes whether an attempt was refused. */
        default void observe(
                Entry entry, Call call, EndpointState state, Result result, long nowNanos) {}

        /** Observes whether a request was refused in the end. */
        default void ended(Entry entry, Call call, boolean refused, long nowNanos) {}

        /** Returns the time after which the caller of a refused request may return. */
        default double retryMillis(Entry entry, Call call, double drainMillis, long nowNanos) {
            return Math.max(50, drainMillis);
        }
    }

    /**
     * The result of an attempt.
     *
     * @param workMillis how long the server worked on it; 0 for a refusal
     * @param drainMillis how long its queue takes to drain
     */
    record Result(boolean refused, double workMillis, double tookMillis, double drainMillis) {}

    private record Event(double at, long order, Runnable run) {}

    /** A node: entry for its callers, queue and server for one service. */
    final class Entry {
        final int mIndex = mNodes.size();
        final int mDataCentre;
        final int mService;
        final List<EndpointState> mEndpoints = new ArrayList<>();
        final int[] mReported = new int[67];
        final int[] mOwn = new int[67];
        final SplittableRandom mRandom = new SplittableRandom(mSeed * 131 + mIndex);
        int mNext = mIndex;
        private final BackendQueue<Call> mQueue = new BackendQueue<>();
        private final double mSpeed = 0.6 + mPlaces.nextDouble();
        private double mSlowness = 1;
        private double mMeanWork;
        private double mMeanMillis;
        private double mProcessorFree;

        Entry(int dataCentre, int service) {
            mDataCentre = dataCentre;
            mService = service;
            mQueue.setSlots(SLOTS);
        }
    }

    /** A request of a caller; a second one follows if a refusal allows it. */
    final class Call {
        final Kind mKind;
        final Entry mEntry;
        final double mFirst;
        final int mNumber;
        final Set<String> mTried = new HashSet<>();
        private double mArrived;
        private double mSent;
        private int mAttempts;
        private boolean mReturned;
        private boolean mDone;
        private @Nullable QueuedRequest mQueued;
        private double mRetryMillis;

        Call(Kind kind, Entry entry, int number) {
            mKind = kind;
            mEntry = entry;
            mNumber = number;
            mFirst = mNow;
            mArrived = mNow;
        }

        String service() {
            return "s" + mKind.mService;
        }

        int rank() {
            return mKind.mRank;
        }
    }

    final CallerTally mAll = new CallerTally();
    final CallerTally[] mByKind = tallies(Kind.values().length);
    final CallerTally[] mByDataCentre = tallies(3);
    final CallerTally[] mByWindow = tallies(20);
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Event::at).thenComparingLong(Event::order));
    private final List<Entry> mNodes = new ArrayList<>();
    private final long mSeed;
    private final SplittableRandom mPlaces;
    private final Policy mPolicy;
    private final double mMessageMillis;
    private double mNow;
    private long mOrder;
    private int mCalls;

    /**
     * Creates a model.
     *
     * @param messageMillis for how long each message occupies the processor of a node
     */
    UnevenLoadModel(long seed, Policy policy, double messageMillis) {
        mSeed = seed;
        mPlaces = new SplittableRandom(seed);
        mPolicy = policy;
        mMessageMillis = messageMillis;
        for (int service = 0; service < SERVERS.length; service++) {
            for (int dc = 0; dc < 3; dc++) {
                for (int i = 0; i < SERVERS[service][dc]; i++) {
                    mNodes.add(new Entry(dc, service));
                }
            }
        }
        for (Entry entry : mNodes) {
            for (Entry server : mNodes) {
                EndpointState state =
                        new EndpointState(record(server), entry.mDataCentre == server.mDataCentre);
                state.setConnected(true);
                entry.mEndpoints.add(state);
            }
        }
    }

    private static NodeRecord record(Entry server) {
        BackendRecord backend =
                new BackendRecord("s" + server.mService, "i" + server.mIndex, SLOTS, true, 0);
        NetAddress address = new NetAddress("127.0.0.1", 7000);
        String name = Integer.toString(server.mIndex);
        return new NodeRecord(name, "dc" + server.mDataCentre, address, 1, 1, false, true, backend);
    }

    private static CallerTally[] tallies(int count) {
        CallerTally[] tallies = new CallerTally[count];
        for (int i = 0; i < count; i++) {
            tallies[i] = new CallerTally();
        }
        return tallies;
    }

    /** Runs until all requests that arrive within a time have ended. */
    UnevenLoadModel run(double load, double millis) {
        for (Kind kind : Kind.values()) {
            SplittableRandom random = new SplittableRandom(mSeed * 31 + kind.ordinal());
            for (int dc = 0; dc < 3; dc++) {
                int where = dc;
                at(0, () -> arrivals(kind, where, load, millis, random.split()));
            }
        }
        SplittableRandom slow = new SplittableRandom(mSeed + 7);
        for (double at = 0; at < millis; at += SLOW_MILLIS) {
            at(at, () -> mNodes.forEach(node -> node.mSlowness = slowness(node, slow)));
        }
        for (double at = 0; at < millis + 5_000; at += 25) {
            at(at, () -> mNodes.forEach(this::startWaiting));
        }
        at(CUT_FROM + CUT_NOTICED_MILLIS, () -> connect(false));
        at(CUT_FROM + CUT_MILLIS, () -> connect(true));
        while (!mEvents.isEmpty()) {
            Event next = mEvents.remove();
            mNow = next.at();
            next.run().run();
        }
        return this;
    }

    /** The servers of two services run slower at times. */
    private static double slowness(Entry node, SplittableRandom random) {
        boolean slow = random.nextDouble() < SLOW_SHARE;
        return slow && node.mService % 2 == 0 ? SLOW_FACTOR : 1;
    }

    private void connect(boolean connected) {
        for (Entry entry : mNodes) {
            for (Entry server : mNodes) {
                if ((entry.mDataCentre == 2) != (server.mDataCentre == 2)) {
                    entry.mEndpoints.get(server.mIndex).setConnected(connected);
                }
            }
        }
    }

    private void arrivals(Kind kind, int dc, double load, double end, SplittableRandom random) {
        double peak = load * kind.mPerSecond / 3_000 * 1.55 * 2.3;
        double gap = -Math.log(1 - random.nextDouble()) / peak;
        boolean arrives = random.nextDouble() * 1.55 * 2.3 < demand(kind, dc);
        int place = random.nextInt(1 << 20);
        if (mNow >= end) {
            return;
        }
        if (arrives) {
            List<Entry> entries = mNodes.stream().filter(each -> each.mDataCentre == dc).toList();
            Call call = new Call(kind, entries.get(place % entries.size()), mCalls++);
            at(mNow + kind.mDeadline, () -> timedOut(call));
            receive(call);
        }
        at(mNow + gap, () -> arrivals(kind, dc, load, end, random));
    }

    private double demand(Kind kind, int dc) {
        double swing = 1 + 0.55 * Math.sin(2 * Math.PI * (mNow / 13_000 + dc / 3.0));
        int burst = (int) (mNow / BURST_EVERY);
        SplittableRandom random = new SplittableRandom(mSeed * 17 + burst);
        boolean bursts =
                random.nextInt(Kind.values().length) == kind.ordinal()
                        && mNow % BURST_EVERY < BURST_MILLIS;
        return bursts ? swing * (1.7 + 0.6 * random.nextDouble()) : swing;
    }

    private void at(double when, Runnable run) {
        mEvents.add(new Event(when, mOrder++, run));
    }

    /** Runs something once a node's processor has handled a message. */
    private void handle(Entry node, Runnable run) {
        node.mProcessorFree = Math.max(mNow, node.mProcessorFree) + mMessageMillis;
        at(node.mProcessorFree, run);
    }

    /** Delivers a message unless the data centres are cut off from each other. */
    private void deliver(Call call, Entry server, Entry to, Runnable run) {
        boolean far = call.mEntry.mDataCentre != server.mDataCentre;
        boolean cut = mNow >= CUT_FROM && mNow < CUT_FROM + CUT_MILLIS;
        if (!cut || (call.mEntry.mDataCentre == 2) == (server.mDataCentre == 2)) {
            at(mNow + (far ? FAR_MILLIS : NEAR_MILLIS), () -> handle(to, run));
        } else {
            at(Math.max(mNow, call.mFirst + call.mKind.mDeadline), () -> ended(call, server));
        }
    }

    private void receive(Call call) {
        handle(call.mEntry, () -> attempt(call));
    }

    private void attempt(Call call) {
        Entry entry = call.mEntry;
        if (call.mDone) {
            return;
        }
        Kind kind = call.mKind;
        EndpointSelector.Request request =
                new EndpointSelector.Request(
                        "s" + kind.mService,
                        kind.name(),
                        kind.mRank,
                        (long) kind.mTarget,
                        1_000,
                        call.mTried);
        EndpointState chosen =
                call.mTried.size() >= MAX_ATTEMPTS ? null : mPolicy.choose(entry, request, nanos());
        if (chosen == null) {
            refuse(call);
            return;
        }
        Entry server = mNodes.get(Integer.parseInt(chosen.node()));
        call.mAttempts++;
        call.mSent = mNow;
        call.mTried.add(chosen.node());
        chosen.requestStarted(kind.mRank);
        entry.mOwn[server.mIndex]++;
        handle(entry, () -> deliver(call, server, server, () -> offer(call, server)));
    }

    private void offer(Call call, Entry server) {
        Kind kind = call.mKind;
        double work = server.mMeanWork > 0 ? kind.mWork * server.mMeanWork : kind.mWork;
        QueuedRequest queued =
                new QueuedRequest(
                        kind.name(),
                        kind.mRank,
                        false,
                        (long) ((call.mArrived + kind.mTarget) * MILLI),
                        (long) ((call.mFirst + kind.mDeadline) * MILLI),
                        work);
        call.mQueued = queued;
        switch (server.mQueue.offer(call, queued, nanos())) {
            case START -> start(call, server);
            case REFUSE -> reply(call, server, 0);
            default -> {}
        }
    }

    private void start(Call call, Entry server) {
        SplittableRandom random = new SplittableRandom(mSeed * 1_000_003 + call.mNumber);
        double tail = random.nextDouble() < 0.03 ? 7 : 1;
        double factor = Math.exp(0.3 * random.nextGaussian()) * tail;
        double work = call.mKind.mWork * factor * server.mSlowness / server.mSpeed;
        QueuedRequest queued = call.mQueued;
        at(
                mNow + work,
                () -> {
                    if (queued != null) {
                        server.mQueue.release(queued);
                    }
                    double relative = work / call.mKind.mWork;
                    server.mMeanWork =
                            server.mMeanWork == 0
                                    ? relative
                                    : 0.95 * server.mMeanWork + 0.05 * relative;
                    server.mMeanMillis += 0.1 * (work - server.mMeanMillis);
                    reply(call, server, work);
                    startWaiting(server);
                });
    }

    private void startWaiting(Entry server) {
        server.mQueue.removeExpired(nanos()).forEach(call -> reply(call, server, 0));
        for (Call next = server.mQueue.startNext(nanos());
                next != null;
                next = server.mQueue.startNext(nanos())) {
            start(next, server);
        }
    }

    /** Sends an answer or a refusal to the entry node, with a load report. */
    private void reply(Call call, Entry server, double work) {
        List<Integer> waiting = server.mQueue.waitingByRank(EndpointLoad.RANK_COUNT);
        EndpointLoad load =
                new EndpointLoad(server.mQueue.running(), waiting, server.mMeanMillis, 0);
        double drain = server.mQueue.backlogMillis(nanos());
        handle(
                server,
                () ->
                        deliver(
                                call,
                                server,
                                call.mEntry,
                                () -> replied(call, server, load, drain, work)));
    }

    private void replied(Call call, Entry server, EndpointLoad load, double drain, double work) {
        Entry entry = call.mEntry;
        EndpointState state = entry.mEndpoints.get(server.mIndex);
        ended(call, server);
        entry.mReported[server.mIndex] = load.running() + load.waitingUpTo(3);
        state.observeLoad(load, nanos());
        boolean refused = work == 0;
        Result result = new Result(refused, work, mNow - call.mSent, drain);
        mPolicy.observe(entry, call, state, result, nanos());
        if (refused) {
            call.mRetryMillis = drain;
            attempt(call);
            return;
        }
        mPolicy.ended(entry, call, false, nanos());
        state.observeWork(
                state.record().backend(), call.mKind.name(), call.mKind.mWork * server.mMeanWork);
        done(call, mNow - call.mFirst <= call.mKind.mTarget ? 1 : 0.5, server.mDataCentre);
    }

    private void timedOut(Call call) {
        if (!call.mDone) {
            mPolicy.ended(call.mEntry, call, true, nanos());
            done(call, 0, 0);
        }
    }

    private void ended(Call call, Entry server) {
        call.mEntry.mEndpoints.get(server.mIndex).requestEnded(call.mKind.mRank);
        call.mEntry.mOwn[server.mIndex]--;
    }

    private void refuse(Call call) {
        mPolicy.ended(call.mEntry, call, true, nanos());
        double wait = mPolicy.retryMillis(call.mEntry, call, call.mRetryMillis, nanos());
        wait *= 1 + call.mEntry.mRandom.nextDouble();
        boolean inTime = mNow + wait + call.mKind.mWork < call.mFirst + call.mKind.mDeadline;
        if (call.mReturned || !inTime) {
            done(call, -1, 0);
            return;
        }
        call.mReturned = true;
        call.mTried.clear();
        at(
                mNow + wait,
                () -> {
                    call.mArrived = mNow;
                    receive(call);
                });
    }

    /** Ends a request with its credit; 0 for no answer by the deadline and -1 for a refusal. */
    private void done(Call call, double credit, int dataCentre) {
        if (call.mDone) {
            return;
        }
        call.mDone = true;
        int window = Math.min(mByWindow.length - 1, (int) (call.mFirst / 3_000));
        for (CallerTally tally :
                List.of(
                        mAll,
                        mByKind[call.mKind.ordinal()],
                        mByDataCentre[call.mEntry.mDataCentre],
                        mByWindow[window])) {
            tally.mRequests++;
            tally.mAttempts += call.mAttempts;
            tally.mServed += credit > 0 ? 1 : 0;
            tally.mRemote += credit > 0 && dataCentre != call.mEntry.mDataCentre ? 1 : 0;
            tally.mCredit += Math.max(0, credit);
            tally.mRefused += credit < 0 ? 1 : 0;
            tally.mRefusalMillis += credit < 0 ? mNow - call.mFirst : 0;
        }
    }

    private long nanos() {
        return (long) (mNow * MILLI);
    }
}
