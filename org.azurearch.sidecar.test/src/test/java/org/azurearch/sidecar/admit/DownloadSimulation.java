package org.azurearch.sidecar.admit;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.azurearch.lib.NetAddress;
import org.azurearch.sidecar.member.BackendRecord;
import org.azurearch.sidecar.member.NodeRecord;
import org.azurearch.sidecar.route.EndpointLoad;
import org.azurearch.sidecar.route.EndpointSelector;
import org.azurearch.sidecar.route.EndpointState;

/**
 * Downloads on a manual clock. Callers reach all VMs alike; eight of them have a backend server and
 * a narrow link, which the answers to other nodes and those to the VM's own callers share.
 */
final class DownloadSimulation {
    static final double PER_SECOND = 86;
    static final int ANSWER_BYTES = 90_000;
    static final double LINK_MBPS = 7;
    static final int SERVERS = 8;
    static final int NODES = 84;
    static final long TARGET_MILLIS = 998;
    static final long DEADLINE_MILLIS = 2_496;

    private static final long MILLI = 1_000_000L;
    private static final int RANK = 1;
    private static final long WORK_MILLIS = 124;
    private static final long HOP_NANOS = MILLI;
    private static final int SLOTS = 13;
    private static final int MAX_ATTEMPTS = 4;
    private static final double SEND_MILLIS = ANSWER_BYTES * 8 / (LINK_MBPS * 1_000);

    private record Event(long atNanos, long order, Runnable action) {}

    /** An answer that was accepted, as a real link sends it. */
    private static final class Transfer {
        private long mReadyNanos = Long.MAX_VALUE;
        private final long mAcceptedNanos;

        Transfer(long acceptedNanos) {
            mAcceptedNanos = acceptedNanos;
        }
    }

    private record Refusal(int link, long atNanos, long readyNanos, long targetNanos) {}

    private final class Call {
        private final int mEntry;
        private final long mArrivedNanos = mNow;
        private final Set<String> mTried = new HashSet<>();
        private LinkLoad.Awaited mAwaited;
        private Transfer mTransfer;
        private boolean mAccepted;
        private boolean mDone;

        Call(int entry) {
            mEntry = entry;
        }

        long targetNanos() {
            return mArrivedNanos + TARGET_MILLIS * MILLI;
        }

        long deadlineNanos() {
            return mArrivedNanos + DEADLINE_MILLIS * MILLI;
        }
    }

    private final class Attempt {
        private final Call mCall;
        private final QueuedRequest mRequest;
        private Transfer mTransfer;

        Attempt(Call call, double answerMillis) {
            mCall = call;
            mRequest =
                    new QueuedRequest(
                            "download",
                            RANK,
                            false,
                            call.targetNanos(),
                            call.deadlineNanos(),
                            WORK_MILLIS,
                            "",
                            1,
                            answerMillis);
        }
    }

    private final SplittableRandom mRandom;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    (one, other) ->
                            one.atNanos() != other.atNanos()
                                    ? Long.compare(one.atNanos(), other.atNanos())
                                    : Long.compare(one.order(), other.order()));
    private final List<LinkLoad> mLoads = new ArrayList<>();
    private final List<BackendQueue<Attempt>> mQueues = new ArrayList<>();
    private final List<List<EndpointState>> mViews = new ArrayList<>();
    private final List<List<Transfer>> mTransfers = new ArrayList<>();
    private final long[] mLinkFreeNanos = new long[SERVERS];
    private final double[] mMeanMillis = new double[SERVERS];
    private final EndpointSelector mSelector;
    private final List<Refusal> mRefusals = new ArrayList<>();
    private final List<Refusal> mUntried = new ArrayList<>();
    private long mNow;
    private long mOrder;
    private int mArrived;
    private int mInTime;
    private int mLate;
    private int mRefused;
    private int mAcceptedUnanswered;

    /**
     * Creates a simulation.
     *
     * @param seed the seed of the arrivals and of the choices
     * @param decidedMbps the bandwidth that the nodes are told of
     */
    DownloadSimulation(long seed, double decidedMbps) {
        mRandom = new SplittableRandom(seed);
        mSelector = new EndpointSelector(mRandom.split(), service -> {});
        for (int i = 0; i < SERVERS; i++) {
            mLoads.add(new LinkLoad(decidedMbps));
            mLoads.get(i).sent("download", RANK, ANSWER_BYTES, -1_000_000 * MILLI);
            mQueues.add(new BackendQueue<>(mLoads.get(i)));
            mQueues.get(i).setSlots(SLOTS);
            mTransfers.add(new ArrayList<>());
            mMeanMillis[i] = WORK_MILLIS;
        }
        for (int i = 0; i < NODES; i++) {
            mViews.add(view());
        }
    }

    private static List<EndpointState> view() {
        List<EndpointState> view = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            BackendRecord backend = new BackendRecord("files", "i-" + i, SLOTS, true, 0);
            NetAddress address = new NetAddress("127.0.0.1", 7_000);
            EndpointState state =
                    new EndpointState(
                            new NodeRecord("" + i, "dc", address, 1, 1, false, true, backend),
                            true);
            state.setConnected(true);
            view.add(state);
        }
        return view;
    }

    /** Runs the simulation for a time in which calls arrive, and until all have ended. */
    void run(long seconds) {
        at(0, () -> arrive(seconds * 1_000 * MILLI));
        for (Event next = mEvents.poll(); next != null; next = mEvents.poll()) {
            mNow = next.atNanos();
            next.action().run();
        }
    }

    int arrived() {
        return mArrived;
    }

    int inTime() {
        return mInTime;
    }

    int late() {
        return mLate;
    }

    int refused() {
        return mRefused;
    }

    /** Returns the accepted calls that were not answered by their deadline. */
    int acceptedUnanswered() {
        return mAcceptedUnanswered;
    }

    /** Returns how many refusals were of requests that the link could have answered in time. */
    long wronglyRefused() {
        return mRefusals.stream()
                .filter(refusal -> finish(refusal) <= refusal.targetNanos())
                .count();
    }

    /** Returns how often a refused call could have been answered in time by an untried server. */
    long answerableElsewhere() {
        return mUntried.stream()
                .filter(refusal -> finish(refusal) <= refusal.targetNanos())
                .count();
    }

    /** Returns when a link would have sent a refused answer, after those accepted before it. */
    private long finish(Refusal refusal) {
        long free = 0;
        for (Transfer transfer : mTransfers.get(refusal.link())) {
            if (transfer.mAcceptedNanos <= refusal.atNanos()
                    && transfer.mReadyNanos <= refusal.readyNanos()) {
                free = Math.max(free, transfer.mReadyNanos) + (long) (SEND_MILLIS * MILLI);
            }
        }
        return Math.max(free, refusal.readyNanos()) + (long) (SEND_MILLIS * MILLI);
    }

    private void arrive(long untilNanos) {
        mArrived++;
        begin(new Call(mRandom.nextInt(NODES)));
        long gap = (long) (-Math.log(1 - mRandom.nextDouble()) / PER_SECOND * 1e9);
        if (mNow + gap < untilNanos) {
            at(mNow + gap, () -> arrive(untilNanos));
        }
    }

    private void begin(Call call) {
        if (call.mEntry < SERVERS) {
            LinkLoad load = mLoads.get(call.mEntry);
            long ready = mNow + (long) (mMeanMillis[call.mEntry] * MILLI);
            LinkLoad.Answer answer =
                    new LinkLoad.Answer(
                            RANK,
                            load.answerMillis("download"),
                            ready,
                            call.targetNanos(),
                            call.deadlineNanos());
            if (!load.admits(answer, mNow)) {
                mRefusals.add(new Refusal(call.mEntry, mNow, ready, call.targetNanos()));
                mRefused++;
                return;
            }
            call.mAwaited = load.await(answer, false);
            call.mTransfer = transfer(call.mEntry);
        }
        at(call.deadlineNanos(), () -> expire(call));
        sendToNext(call);
    }

    private void expire(Call call) {
        if (!call.mDone) {
            end(call);
            mAcceptedUnanswered += call.mAccepted ? 1 : 0;
        }
    }

    private void end(Call call) {
        call.mDone = true;
        if (call.mAwaited != null) {
            mLoads.get(call.mEntry).release(call.mAwaited);
        }
    }

    private void sendToNext(Call call) {
        EndpointSelector.Request request =
                new EndpointSelector.Request(
                        "files", "download", 1, TARGET_MILLIS, ANSWER_BYTES, call.mTried);
        EndpointState chosen =
                call.mTried.size() >= MAX_ATTEMPTS
                        ? null
                        : mSelector.choose(mViews.get(call.mEntry), request, mNow);
        if (chosen == null) {
            end(call);
            mRefused++;
            recordUntried(call);
            return;
        }
        call.mTried.add(chosen.node());
        chosen.requestStarted(1);
        chosen.answerExpected(ANSWER_BYTES);
        int server = Integer.parseInt(chosen.node());
        at(mNow + (server == call.mEntry ? 0 : HOP_NANOS), () -> offer(call, server));
    }

    /** Records that a call that is refused was not offered to the remaining servers. */
    private void recordUntried(Call call) {
        long ready = mNow + HOP_NANOS + WORK_MILLIS * MILLI;
        for (int i = 0; i < SERVERS; i++) {
            if (!call.mTried.contains("" + i)) {
                mUntried.add(new Refusal(i, mNow, ready, call.targetNanos()));
            }
        }
    }

    private void offer(Call call, int server) {
        if (call.mDone) {
            return;
        }
        LinkLoad load = mLoads.get(server);
        BackendQueue<Attempt> queue = mQueues.get(server);
        boolean leaves = server != call.mEntry;
        Attempt attempt = new Attempt(call, leaves ? load.answerMillis("download") : 0);
        long ready = mNow + WORK_MILLIS * MILLI;
        BackendQueue.Decision decision = queue.offer(attempt, attempt.mRequest, mNow);
        if (decision == BackendQueue.Decision.REFUSE) {
            mRefusals.add(new Refusal(server, mNow, ready, call.targetNanos()));
            at(mNow + HOP_NANOS, () -> refused(call, server));
            return;
        }
        call.mAccepted = true;
        if (leaves) {
            attempt.mTransfer = transfer(server);
        }
        if (decision == BackendQueue.Decision.START) {
            start(attempt, server);
        }
    }

    private void refused(Call call, int server) {
        report(call.mEntry, server);
        if (!call.mDone) {
            sendToNext(call);
        }
    }

    private void start(Attempt attempt, int server) {
        at(mNow + WORK_MILLIS * MILLI, () -> finished(attempt, server));
    }

    private void finished(Attempt attempt, int server) {
        BackendQueue<Attempt> queue = mQueues.get(server);
        queue.release(attempt.mRequest);
        for (Attempt next = queue.startNext(mNow); next != null; next = queue.startNext(mNow)) {
            start(next, server);
        }
        Call call = attempt.mCall;
        if (attempt.mTransfer == null) {
            deliver(call, server);
            return;
        }
        mLoads.get(server).sent("download", RANK, ANSWER_BYTES, mNow);
        at(send(server, attempt.mTransfer) + HOP_NANOS, () -> deliver(call, server));
    }

    private void deliver(Call call, int server) {
        report(call.mEntry, server);
        if (call.mDone) {
            return;
        }
        end(call);
        if (call.mTransfer == null) {
            answered(call);
            return;
        }
        double millis = (mNow - call.mArrivedNanos) / (double) MILLI;
        mMeanMillis[call.mEntry] += 0.1 * (millis - mMeanMillis[call.mEntry]);
        mLoads.get(call.mEntry).sent("download", RANK, ANSWER_BYTES, mNow);
        at(send(call.mEntry, call.mTransfer), () -> answered(call));
    }

    private void answered(Call call) {
        if (mNow <= call.targetNanos()) {
            mInTime++;
        } else if (mNow <= call.deadlineNanos()) {
            mLate++;
        } else {
            mAcceptedUnanswered++;
        }
    }

    /** Stores the load of a server at an entry node, as an answer or a refusal carries it. */
    private void report(int entry, int server) {
        BackendQueue<Attempt> queue = mQueues.get(server);
        LinkLoad load = mLoads.get(server);
        EndpointState state = mViews.get(entry).get(server);
        state.requestEnded(1);
        EndpointLoad reported =
                new EndpointLoad(queue.running(), queue.waitingByRank(4), WORK_MILLIS, 0);
        state.observeLoad(
                entry == server || !load.limited()
                        ? reported
                        : reported.withLink(
                                load.waitMillis(mNow + WORK_MILLIS * MILLI, mNow), load.mbps()),
                mNow);
    }

    private Transfer transfer(int link) {
        Transfer transfer = new Transfer(mNow);
        mTransfers.get(link).add(transfer);
        return transfer;
    }

    /** Passes an answer to the real link and returns when it has been sent. */
    private long send(int link, Transfer transfer) {
        transfer.mReadyNanos = mNow;
        mLinkFreeNanos[link] = Math.max(mLinkFreeNanos[link], mNow) + (long) (SEND_MILLIS * MILLI);
        return mLinkFreeNanos[link];
    }

    private void at(long nanos, Runnable action) {
        mEvents.add(new Event(nanos, mOrder++, action));
    }
}
