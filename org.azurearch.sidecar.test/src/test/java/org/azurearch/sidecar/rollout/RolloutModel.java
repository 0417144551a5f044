package org.azurearch.sidecar.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.stream.IntStream;

/**
 * Runs one roll-out on a manual clock: nodes that choose versions, servers that answer, and
 * coordinators that exchange evidence and states with delays.
 */
final class RolloutModel {
    /** How the new version behaves. */
    enum Kind {
        GOOD,
        FAILS,
        SLOW,
        FAILS_LATER,
        FAILS_UNDER_LOAD,
        SLOW_ON_ONE_ROUTE,
        FAILS_ON_ONE_ROUTE
    }

    static final String SERVICE = "boards";
    static final long DURATION = 12_000;
    static final double EXPOSE_FRACTION = 0.1;
    static final double EXPOSE_SLACK = 50;
    static final long ROLLBACK_MILLIS = 5_000;

    private static final double WORK_MILLIS = 300;
    private static final double FAILURES = 0.3;
    private static final double SLOWNESS = 8;
    private static final long LATER = 5_000;
    private static final int SLOTS = 13;
    private static final int REPORT_MILLIS = 200;
    private static final int TICK_MILLIS = 100;
    private static final int STORE_MILLIS = 20;

    private record Ending(long atMillis, Runnable action) implements Comparable<Ending> {
        @Override
        public int compareTo(Ending other) {
            return Long.compare(atMillis, other.atMillis);
        }
    }

    /** A node: its evidence, its share and its view of the state. */
    private final class Node {
        private final EvidenceCounter mCounter;
        private final EvidenceSum mSum = new EvidenceSum();
        private final RolloutCoordinator mCoordinator =
                new RolloutCoordinator(new ExposureBudget(EXPOSE_FRACTION, EXPOSE_SLACK));
        private final Map<String, Double> mPhases = new HashMap<>();
        private RolloutState mState;
        private long mStateMillis;
        private long mLeaseMillis;
        private boolean mStopped;

        private Node(String name) {
            mCounter = new EvidenceCounter(name, 1);
        }

        private RolloutState state() {
            return mState == null
                    ? null
                    : mState.at(mState.elapsedMillis() + mNow - mStateMillis, mState.slowMillis());
        }

        private void merge(RolloutState state, boolean report) {
            RolloutState known = state();
            if (report) {
                mLeaseMillis = mNow;
            }
            if (known == null || state.supersedes(known) || state.sameAs(known)) {
                long elapsed = known == null ? 0 : known.elapsedMillis();
                mState = state.at(Math.max(elapsed, state.elapsedMillis()), state.slowMillis());
                mStateMillis = mNow;
            }
        }

        private boolean nextIsTarget(String route) {
            boolean held = mStopped || mState == null || mNow - mLeaseMillis > 2_500;
            if (held || !mState.running()) {
                return mState != null && mState.verdict() == Verdict.COMPLETED;
            }
            double begin = mPhases.computeIfAbsent(route, name -> mRandom.nextDouble());
            double phase = begin + mState.share(route);
            mPhases.put(route, phase - Math.floor(phase));
            return phase >= 1;
        }
    }

    private final long mSeed;
    private final SplittableRandom mRandom;
    private final Kind mKind;
    private final int mServers;
    private final double mPerSecond;
    private final List<Node> mNodes = new ArrayList<>();
    private final PriorityQueue<Ending> mEvents = new PriorityQueue<>();
    private final int[] mBusy;
    private final Map<String, Integer> mServerIndex = new HashMap<>();
    private final RolloutOrder mOrder = new RolloutOrder(SERVICE, "v2", DURATION, 7);
    private double mLossRate;
    private long mCoordinatorDiesAt = Long.MAX_VALUE;
    private boolean mTwoCoordinators;
    private Predicate<Long> mStoreDown = now -> false;
    private long mNow;
    private RolloutState mSaved;
    private long mRequests;
    private long mExposed;
    private long mBad;
    private long mFiftiethBadAt = -1;
    private long mLastExposedAt = -1;
    private long mDecidedAt = -1;
    private int mOldPendingAtCompletion;
    private int mOldPending;

    RolloutModel(long seed, Kind kind, int servers, int nodes, double perSecond) {
        mSeed = seed;
        mRandom = new SplittableRandom(seed);
        mKind = kind;
        mServers = servers;
        mPerSecond = perSecond;
        mBusy = new int[servers];
        IntStream.range(0, nodes).forEach(i -> mNodes.add(new Node("n" + i)));
    }

    RolloutModel losing(double rate) {
        mLossRate = rate;
        return this;
    }

    RolloutModel coordinatorDiesAt(long millis) {
        mCoordinatorDiesAt = millis;
        return this;
    }

    RolloutModel withTwoCoordinators() {
        mTwoCoordinators = true;
        return this;
    }

    RolloutModel storeDown(Predicate<Long> down) {
        mStoreDown = down;
        return this;
    }

    /** Runs until the end of the duration and some time beyond. */
    RolloutModel run() {
        double due = 0;
        for (mNow = 1; mNow < DURATION + 3_000; mNow++) {
            while (!mEvents.isEmpty() && mEvents.peek().atMillis() <= mNow) {
                mEvents.poll().action().run();
            }
            due += mNow < DURATION ? mPerSecond / 1_000 : 0;
            while (due >= 1) {
                due--;
                request(mNodes.get(mRandom.nextInt(mNodes.size())));
            }
            if (mNow % TICK_MILLIS == 0) {
                tick();
            }
        }
        return this;
    }

    private void request(Node node) {
        mRequests++;
        node.mCounter.request();
        String route = mRandom.nextInt(5) == 0 ? "rare" : "usual";
        boolean target = node.nextIsTarget(route);
        if (!target) {
            send(node, route, false, -1);
            return;
        }
        int used = Math.max(2, (int) Math.ceil(node.mState.share() * mServers));
        int server = mRandom.nextInt(Math.min(mServers, used));
        send(node, route, true, server);
    }

    private void send(Node node, String route, boolean target, int server) {
        EvidenceCounter.Observation observation =
                node.mCounter.sent("s" + server, route, target, false, mNow);
        boolean failed = false;
        double millis = WORK_MILLIS * (0.6 + mRandom.nextDouble());
        if (mRandom.nextInt(100) < 3) {
            millis *= 7;
        }
        if (target) {
            mExposed += mNow < DURATION && mDecidedAt < 0 ? 1 : 0;
            mLastExposedAt = mNow;
            mBusy[server]++;
            boolean loaded = mBusy[server] >= loadThreshold();
            failed = fails(route, loaded) && mRandom.nextDouble() < FAILURES;
            boolean slow =
                    mKind == Kind.SLOW || (mKind == Kind.SLOW_ON_ONE_ROUTE && route.equals("rare"));
            millis *= slow ? SLOWNESS : 1;
        } else {
            mOldPending++;
        }
        boolean failure = failed;
        boolean bad = failed || (target && millis > 2_000 && mKind != Kind.GOOD);
        long ends = mNow + (long) millis;
        mEvents.add(
                new Ending(
                        ends,
                        () -> {
                            observation.answered(failure, mNow);
                            if (target) {
                                mBusy[server]--;
                                mBad += bad ? 1 : 0;
                                if (mBad == 50 && mFiftiethBadAt < 0) {
                                    mFiftiethBadAt = mNow;
                                }
                                if (failure) {
                                    send(node, route, false, -1);
                                }
                            } else {
                                mOldPending--;
                            }
                        }));
    }

    /** Half of the requests that run at a server with the whole load. */
    private double loadThreshold() {
        return Math.max(1, 0.5 * mPerSecond * WORK_MILLIS / 1_000 / mServers);
    }

    private boolean fails(String route, boolean loaded) {
        return switch (mKind) {
            case FAILS -> true;
            case FAILS_LATER -> mNow > LATER;
            case FAILS_UNDER_LOAD -> loaded;
            case FAILS_ON_ONE_ROUTE -> route.equals("rare");
            default -> false;
        };
    }

    private RolloutCoordinator.Servers servers() {
        return new RolloutCoordinator.Servers(
                "v1", Set.of("v1", "v2"), mServers, mServers * SLOTS, mServers * SLOTS);
    }

    private void tick() {
        for (Node node : mNodes) {
            RolloutState state = node.state();
            node.mCounter.tick(mNow, state == null ? Map.of() : state.slowMillis());
            node.mSum.merge(node.mCounter.snapshot());
            if (state != null && state.running()) {
                node.mStopped |= node.mCoordinator.observe(mNow, node.mSum, mServers);
            }
        }
        boolean firstAlive = mNow < mCoordinatorDiesAt;
        if (firstAlive) {
            lead(mNodes.get(0));
        }
        boolean secondLeads = !firstAlive && mNow > mCoordinatorDiesAt + 700;
        if (mTwoCoordinators || secondLeads) {
            lead(mNodes.get(1));
        }
        if (mNow % REPORT_MILLIS == 0) {
            for (Node node : mNodes) {
                NodeEvidence evidence = node.mCounter.snapshot();
                deliver(() -> mNodes.get(0).mSum.merge(evidence));
                deliver(() -> mNodes.get(1).mSum.merge(evidence));
            }
        }
    }

    private void lead(Node node) {
        node.mLeaseMillis = mNow;
        RolloutState state = node.state();
        RolloutState next =
                state == null
                        ? RolloutCoordinator.begin(mOrder, null, servers(), mNow)
                        : node.mCoordinator.next(state, mOrder, node.mSum, servers(), mNow);
        next = next.at(next.elapsedMillis(), node.mCoordinator.slowMillis());
        boolean changed = state == null || next.supersedes(state);
        boolean ramps = next.running() && next.step() == RolloutCoordinator.FIRST_RAMP;
        if (changed && (state == null || ramps || next.verdict().isFinal())) {
            if (mStoreDown.test(mNow)) {
                return;
            }
            RolloutState saved = mSaved;
            RolloutState kept = saved != null && !next.supersedes(saved) ? saved : next;
            mSaved = kept;
            mEvents.add(new Ending(mNow + STORE_MILLIS, () -> install(node, kept)));
        } else if (changed) {
            install(node, next);
        } else {
            node.mState = next;
            node.mStateMillis = mNow;
            if (mNow % REPORT_MILLIS == 0) {
                broadcast(next);
            }
        }
    }

    private void install(Node node, RolloutState state) {
        node.merge(state, true);
        if (state.verdict().isFinal() && mDecidedAt < 0) {
            mDecidedAt = mNow;
            mOldPendingAtCompletion = state.verdict() == Verdict.COMPLETED ? mOldPending : 0;
        }
        broadcast(state);
    }

    private void broadcast(RolloutState state) {
        for (Node node : mNodes) {
            deliver(() -> node.merge(state, true));
        }
    }

    /** Delivers a message late, twice or not at all. */
    private void deliver(Runnable message) {
        if (mRandom.nextDouble() >= mLossRate) {
            mEvents.add(new Ending(mNow + 1 + mRandom.nextInt(10), message));
        }
        if (mRandom.nextDouble() < mLossRate) {
            mEvents.add(new Ending(mNow + 1 + mRandom.nextInt(300), message));
        }
    }

    Verdict verdict() {
        return mSaved == null ? null : mSaved.verdict();
    }

    /** Returns the cause that the first coordinator logs for its halt. */
    String haltCause() {
        return mNodes.get(0).mCoordinator.haltCause();
    }

    long decidedAt() {
        return mDecidedAt;
    }

    long exposed() {
        return mExposed;
    }

    double allowedExposure() {
        return EXPOSE_FRACTION * mRequests + EXPOSE_SLACK;
    }

    /** Returns how long after the 50th bad answer the last request was sent to the version. */
    long sentAfterFiftiethBad() {
        return mFiftiethBadAt < 0 ? 0 : Math.max(0, mLastExposedAt - mFiftiethBadAt);
    }

    int oldPendingAtCompletion() {
        return mOldPendingAtCompletion;
    }

    @Override
    public String toString() {
        return mKind
                + " seed="
                + mSeed
                + " servers="
                + mServers
                + " nodes="
                + mNodes.size()
                + " rate="
                + mPerSecond
                + ": "
                + verdict()
                + " at "
                + mDecidedAt
                + " exposed "
                + mExposed
                + " of "
                + allowedExposure()
                + " bad "
                + mBad
                + " last "
                + mLastExposedAt;
    }
}
