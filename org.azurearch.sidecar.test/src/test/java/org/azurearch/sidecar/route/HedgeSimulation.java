package org.azurearch.sidecar.route;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;
import org.azurearch.lib.NetAddress;
import org.azurearch.sidecar.member.BackendRecord;
import org.azurearch.sidecar.member.NodeRecord;

/**
 * Simulates a service on a manual clock: nodes place requests with {@link EndpointSelector} on
 * servers of different speed, of which some become slow, and hedge them. A fraction of the requests
 * takes many times the work at any server that gets it first.
 */
final class HedgeSimulation {
    /** When a request is sent a second time. */
    enum Mode {
        OFF,
        /** After most of the target, to the best other server, always. */
        FIXED_DELAY,
        /** At the quantile of the latency, to the best other server, always. */
        QUANTILE,
        /** To two servers at once; the attempt that starts first cancels the other one. */
        TIED,
        /** As {@link HedgePolicy} decides from the median on, within the limit. */
        LEAST_TIME,
        /** As {@link HedgePolicy} decides from the quantile on, within the limit. */
        POLICY
    }

    /**
     * What was measured; latencies in milliseconds.
     *
     * @param extraWork the work of second attempts as a fraction of all work
     * @param cancelledWork the work of cancelled attempts as a fraction of all work
     * @param worstWindow the largest fraction of requests hedged in a window
     */
    record Result(
            Histogram latency,
            int requests,
            int hedges,
            double extraWork,
            double cancelledWork,
            double worstWindow) {
        double at(double percentile) {
            return latency.getValueAtPercentile(percentile);
        }
    }

    static final int SLOTS = 13;
    static final double LIMIT = 0.05;
    static final long WINDOW_MILLIS = 10_000;
    private static final double QUANTILE = 0.95;
    private static final int SERVERS = 24;
    private static final double WORK_MILLIS = 206;
    private static final long TARGET_MILLIS = 827;
    private static final double LONG_FRACTION = 0.03;
    private static final double LONG_FACTOR = 7;
    private static final double SLOW_FRACTION = 0.15;
    private static final double SLOW_FACTOR = 2.5;
    private static final double SLOW_PERIOD_MILLIS = 10_000;
    private static final double REPORT_MILLIS = 100;
    private static final double WARM_UP_MILLIS = 10_000;
    private static final double END_MILLIS = 50_000;
    private static final double ANSWER_BYTES = 900;
    private static final String SERVICE = "boards";

    private record Event(double atMillis, long order, Runnable action) {}

    private final class Server {
        final String mName;
        final double mSpeed;
        boolean mSlow;
        final Set<Attempt> mRunning = new HashSet<>();
        final Deque<Attempt> mWaiting = new ArrayDeque<>();
        double mMeanWork;

        Server(int index, double speed) {
            mName = "s" + index;
            mSpeed = speed;
        }

        void startNext() {
            while (mRunning.size() < SLOTS && !mWaiting.isEmpty()) {
                Attempt attempt = mWaiting.poll();
                mRunning.add(attempt);
                attempt.mStartedMillis = mNowMillis;
                double work = attempt.mWork / mSpeed * (mSlow ? SLOW_FACTOR : 1);
                if (mMode == Mode.TIED) {
                    attempt.mCall.cancelOthers(attempt);
                }
                at(work, () -> attempt.done(work));
            }
        }
    }

    private final class Attempt {
        final Call mCall;
        final EndpointState mView;
        final Server mServer;
        final double mWork;
        final double mSentMillis = mNowMillis;
        boolean mSecond;
        double mStartedMillis = -1;

        Attempt(Call call, EndpointState view, double work) {
            mCall = call;
            mView = view;
            mServer = mServers.get(view.node());
            mWork = work;
            view.requestStarted(0);
            mServer.mWaiting.add(this);
        }

        void done(double work) {
            if (!mServer.mRunning.remove(this)) {
                return;
            }
            worked(work);
            mServer.mMeanWork += (mServer.mMeanWork == 0 ? 1 : 0.1) * (work - mServer.mMeanWork);
            mView.requestEnded(0);
            mView.observeWork(mView.record().backend(), SERVICE, mServer.mMeanWork);
            mServer.startNext();
            mCall.answered(this);
        }

        private void worked(double millis) {
            mBusyMillis += millis;
            mExtraMillis += mSecond ? millis : 0;
        }

        void cancel() {
            mView.requestEnded(0);
            mCall.mNode.mLatency.cancelled(mNowMillis - mSentMillis, nanos());
            if (mServer.mRunning.remove(this)) {
                worked(mNowMillis - mStartedMillis);
                mCancelledMillis += mNowMillis - mStartedMillis;
                mServer.startNext();
            } else {
                mServer.mWaiting.remove(this);
            }
        }
    }

    private final class Call {
        final Node mNode;
        final double mArrivedMillis = mNowMillis;
        final List<Attempt> mOpen = new ArrayList<>();
        final double mFirstWork;
        final double mSecondWork;
        boolean mHedged;

        Call(Node node, SplittableRandom arrivals) {
            mNode = node;
            double factor = arrivals.nextDouble() < LONG_FRACTION ? LONG_FACTOR : 1;
            mFirstWork = WORK_MILLIS * factor * (0.5 + arrivals.nextDouble());
            mSecondWork = WORK_MILLIS * (0.5 + arrivals.nextDouble());
        }

        void start() {
            EndpointState first = mNode.choose(mNode.mViews, Set.of());
            mOpen.add(new Attempt(this, first, mFirstWork));
            if (mMode == Mode.TIED) {
                mHedged = true;
                count(mHedgesAt);
                EndpointState second = mNode.choose(mNode.mViews, Set.of(first.node()));
                mOpen.add(new Attempt(this, second, mSecondWork));
            }
            List.copyOf(mOpen).forEach(attempt -> attempt.mServer.startNext());
            if (mMode != Mode.TIED && mMode != Mode.OFF) {
                at(delay(1), this::decide);
            }
        }

        void send(EndpointState view, double work) {
            Attempt attempt = new Attempt(this, view, work);
            attempt.mSecond = mHedged;
            mOpen.add(attempt);
            attempt.mServer.startNext();
        }

        void hedge(EndpointState view) {
            mHedged = true;
            count(mHedgesAt);
            if (!mOpen.isEmpty()) {
                send(view, mSecondWork);
            }
        }

        private double delay(double factor) {
            return mMode == Mode.FIXED_DELAY
                    ? TARGET_MILLIS * 0.8
                    : mPolicy.delayMillis(mNode.mLatency, TARGET_MILLIS, factor, 0);
        }

        private void decide() {
            if (mOpen.size() != 1 || mHedged) {
                return;
            }
            Attempt first = mOpen.get(0);
            HedgeView view = new HedgeView(mNode.mViews, SERVICE, SERVICE, nanos());
            Set<String> tried = Set.of(first.mView.node());
            if (mMode == Mode.FIXED_DELAY || mMode == Mode.QUANTILE) {
                hedge(mNode.choose(mNode.mViews, tried));
                return;
            }
            EndpointState server = mNode.choose(view.candidates(ANSWER_BYTES), tried);
            double factor = view.serverFactor(first.mView);
            double elapsed = mNowMillis - first.mSentMillis;
            double delay = delay(factor);
            if (elapsed < delay) {
                at(Math.max(1, delay - elapsed), this::decide);
                return;
            }
            double remaining = HedgePolicy.remainingMillis(mNode.mLatency, elapsed, factor);
            HedgePolicy.Pending pending =
                    new HedgePolicy.Pending(true, true, false, false, true, 1e6, remaining, 0);
            HedgePolicy.Second second = view.second(server, 0, TARGET_MILLIS, ANSWER_BYTES);
            if (HedgePolicy.decide(pending, second) == HedgePolicy.Decision.SEND
                    && mNode.mLimiter.allows(ANSWER_BYTES, nanos())) {
                mNode.mLimiter.onHedge(ANSWER_BYTES, nanos());
                hedge(server);
            } else {
                at(HedgePolicy.recheckMillis(elapsed), this::decide);
            }
        }

        void answered(Attempt attempt) {
            mOpen.remove(attempt);
            mNode.mLatency.answered(mNowMillis - attempt.mSentMillis, nanos());
            cancelOthers(attempt);
            if (mArrivedMillis > WARM_UP_MILLIS) {
                mLatency.recordValue(Math.round(mNowMillis - mArrivedMillis));
            }
        }

        void cancelOthers(Attempt kept) {
            List<Attempt> others = new ArrayList<>(mOpen);
            others.remove(kept);
            mOpen.removeAll(others);
            others.forEach(Attempt::cancel);
        }
    }

    private final class Node {
        final List<EndpointState> mViews = new ArrayList<>();
        final RouteLatency mLatency = new RouteLatency();
        final HedgeLimiter mLimiter = new HedgeLimiter(LIMIT, WINDOW_MILLIS);
        final EndpointSelector mSelector = new EndpointSelector(mRandom.split(), service -> {});

        EndpointState choose(List<EndpointState> views, Set<String> tried) {
            EndpointSelector.Request request =
                    new EndpointSelector.Request(
                            SERVICE, SERVICE, 0, TARGET_MILLIS, ANSWER_BYTES, tried);
            return mSelector.choose(views, request, nanos());
        }
    }

    private final Mode mMode;
    private final SplittableRandom mRandom;
    private final HedgePolicy mPolicy;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    (a, b) ->
                            a.atMillis() == b.atMillis()
                                    ? Long.compare(a.order(), b.order())
                                    : Double.compare(a.atMillis(), b.atMillis()));
    private final Map<String, Server> mServers = new HashMap<>();
    private final List<Server> mOrdered = new ArrayList<>();
    private final List<Node> mNodes = new ArrayList<>();
    private final Histogram mLatency = new Histogram(1_000_000, 3);
    private final int[] mRequestsAt = new int[(int) (END_MILLIS / REPORT_MILLIS) + 1];
    private final int[] mHedgesAt = new int[mRequestsAt.length];
    private double mNowMillis;
    private long mOrder;
    private double mBusyMillis;
    private double mExtraMillis;
    private double mCancelledMillis;

    private HedgeSimulation(Mode mode, long seed) {
        mMode = mode;
        mRandom = new SplittableRandom(seed);
        mPolicy = new HedgePolicy(mode == Mode.LEAST_TIME ? 0.5 : QUANTILE);
    }

    /**
     * Plays 50 s with one request stream.
     *
     * @param load the demand as a fraction of the capacity
     */
    static Result play(Mode mode, double load, long seed) {
        return new HedgeSimulation(mode, seed).play(load);
    }

    private Result play(double load) {
        double speeds = 0;
        for (int i = 0; i < SERVERS; i++) {
            Server server = new Server(i, 0.6 + mRandom.nextDouble());
            speeds += server.mSpeed;
            mServers.put(server.mName, server);
            mOrdered.add(server);
        }
        for (int i = 0; i < SERVERS; i++) {
            Node node = new Node();
            mOrdered.forEach(server -> node.mViews.add(view(server)));
            mNodes.add(node);
        }
        double meanWork = WORK_MILLIS * (1 + LONG_FRACTION * (LONG_FACTOR - 1));
        double slowdown = 1 - SLOW_FRACTION * (1 - 1 / SLOW_FACTOR);
        double perMilli = load * SLOTS * speeds * slowdown / meanWork;
        SplittableRandom arrivals = mRandom.split();
        at(0, this::report);
        SplittableRandom slow = mRandom.split();
        at(0, () -> slowDown(slow));
        at(0, () -> arrive(arrivals, perMilli));
        while (!mEvents.isEmpty()) {
            Event next = mEvents.poll();
            mNowMillis = next.atMillis();
            next.action().run();
        }
        int requests = 0;
        int hedges = 0;
        for (int i = 0; i < mRequestsAt.length; i++) {
            requests += mRequestsAt[i];
            hedges += mHedgesAt[i];
        }
        return new Result(
                mLatency,
                requests,
                hedges,
                mExtraMillis / mBusyMillis,
                mCancelledMillis / mBusyMillis,
                worstWindow());
    }

    private void arrive(SplittableRandom arrivals, double perMilli) {
        if (mNowMillis > END_MILLIS) {
            return;
        }
        Node node = mNodes.get(arrivals.nextInt(mNodes.size()));
        count(mRequestsAt);
        node.mLimiter.onRequest(ANSWER_BYTES, nanos());
        new Call(node, arrivals).start();
        at(-Math.log(1 - arrivals.nextDouble()) / perMilli, () -> arrive(arrivals, perMilli));
    }

    private void slowDown(SplittableRandom slow) {
        for (Server server : mOrdered) {
            server.mSlow = slow.nextDouble() < SLOW_FRACTION;
        }
        if (mNowMillis < END_MILLIS) {
            at(SLOW_PERIOD_MILLIS, () -> slowDown(slow));
        }
    }

    private void report() {
        for (Node node : mNodes) {
            for (int i = 0; i < SERVERS; i++) {
                Server server = mOrdered.get(i);
                List<Integer> waiting = List.of(server.mWaiting.size(), 0, 0, 0);
                node.mViews
                        .get(i)
                        .observeLoad(
                                new EndpointLoad(
                                        server.mRunning.size(), waiting, server.mMeanWork, 0),
                                nanos());
            }
        }
        if (mNowMillis < END_MILLIS) {
            at(REPORT_MILLIS, this::report);
        }
    }

    private double worstWindow() {
        int steps = (int) (WINDOW_MILLIS / REPORT_MILLIS);
        double worst = 0;
        for (int end = steps; end < mRequestsAt.length; end++) {
            double requests = 0;
            double hedges = 0;
            for (int i = end - steps; i < end; i++) {
                requests += mRequestsAt[i];
                hedges += mHedgesAt[i];
            }
            worst = Math.max(worst, hedges / requests);
        }
        return worst;
    }

    private void count(int[] counts) {
        counts[Math.min(counts.length - 1, (int) (mNowMillis / REPORT_MILLIS))]++;
    }

    private void at(double delayMillis, Runnable action) {
        mEvents.add(new Event(mNowMillis + delayMillis, mOrder++, action));
    }

    private long nanos() {
        return (long) (mNowMillis * 1e6);
    }

    private static EndpointState view(Server server) {
        NetAddress address = new NetAddress("127.0.0.1", 1);
        BackendRecord backend = new BackendRecord(SERVICE, "i-" + server.mName, SLOTS, true, 0);
        EndpointState view =
                new EndpointState(
                        new NodeRecord(server.mName, "a", address, 1, 1, false, true, backend),
                        true);
        view.setConnected(true);
        return view;
    }
}
