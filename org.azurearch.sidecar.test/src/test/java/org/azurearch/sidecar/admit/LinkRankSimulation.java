package org.azurearch.sidecar.admit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Requests of several ranks whose answers share one narrow link, on a manual clock. The link sends
 * up to a window of each answer in turn, as that of concurrent connections.
 */
final class LinkRankSimulation {
    static final double LINK_MBPS = 7;

    /** Window of a link that sends whole answers in the order in which it gets them. */
    static final int WHOLE_ANSWERS = Integer.MAX_VALUE;

    private static final long MILLI = 1_000_000L;
    private static final int SLOTS = 100;
    private static final double WORK_SPREAD = 0.5;

    /** Where the answers come from. */
    enum Site {
        /** From other nodes, to the callers of this one. */
        ENTRY,
        /** From the own backend server, to other nodes. */
        BACKEND
    }

    /** A kind of request, with times in milliseconds. */
    record Kind(
            String route,
            int rank,
            double perSecond,
            int bytes,
            long workMillis,
            long targetMillis,
            long deadlineMillis) {
        /** Returns how long the link takes for the answers to a number of requests. */
        double linkSeconds(int requests) {
            return requests * (double) bytes * 8 / (LINK_MBPS * 1e6);
        }
    }

    /** What became of the requests of a kind. */
    static final class Outcome {
        private int mArrived;
        private int mAdmitted;
        private int mInTime;

        int arrived() {
            return mArrived;
        }

        int inTime() {
            return mInTime;
        }

        int refused() {
            return mArrived - mAdmitted;
        }

        double servedShare() {
            return (double) mInTime / mArrived;
        }

        double inTimeOfAdmitted() {
            return (double) mInTime / mAdmitted;
        }

        @Override
        public String toString() {
            return mArrived + " arrived, " + mAdmitted + " admitted, " + mInTime + " in time";
        }
    }

    private record Event(long atNanos, long order, Runnable action) {}

    private final class Call {
        private final Kind mKind;
        private final long mArrivedNanos = mNow;
        private final QueuedRequest mRequest;
        private LinkLoad.Awaited mAwaited;
        private int mLeftBytes;

        Call(Kind kind) {
            mKind = kind;
            mLeftBytes = kind.bytes();
            mRequest =
                    new QueuedRequest(
                            kind.route(),
                            kind.rank(),
                            false,
                            targetNanos(),
                            deadlineNanos(),
                            kind.workMillis(),
                            "",
                            1,
                            mLoad.answerMillis(kind.route()));
        }

        long targetNanos() {
            return mArrivedNanos + mKind.targetMillis() * MILLI;
        }

        long deadlineNanos() {
            return mArrivedNanos + mKind.deadlineMillis() * MILLI;
        }

        LinkLoad.Answer answer() {
            return new LinkLoad.Answer(
                    mKind.rank(),
                    mRequest.answerMillis(),
                    mNow + mKind.workMillis() * MILLI,
                    targetNanos(),
                    deadlineNanos());
        }
    }

    private final SplittableRandom mRandom;
    private final Site mSite;
    private final int mWindowBytes;
    private final List<Kind> mKinds;
    private final List<Outcome> mOutcomes = new ArrayList<>();
    private final LinkLoad mLoad = new LinkLoad(LINK_MBPS);
    private final BackendQueue<Call> mQueue = new BackendQueue<>(mLoad);
    private final Deque<Call> mSending = new ArrayDeque<>();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    (one, other) ->
                            one.atNanos() != other.atNanos()
                                    ? Long.compare(one.atNanos(), other.atNanos())
                                    : Long.compare(one.order(), other.order()));
    private long mNow;
    private long mOrder;

    /**
     * Creates a simulation.
     *
     * @param windowBytes how much of an answer the link sends before the next one has its turn
     */
    LinkRankSimulation(long seed, Site site, int windowBytes, List<Kind> kinds) {
        mRandom = new SplittableRandom(seed);
        mSite = site;
        mWindowBytes = windowBytes;
        mKinds = kinds;
        mQueue.setSlots(SLOTS);
        for (Kind kind : kinds) {
            mOutcomes.add(new Outcome());
            mLoad.sent(kind.route(), kind.rank(), kind.bytes(), -1_000_000 * MILLI);
        }
    }

    /** Runs the simulation for a time in which requests arrive, and until all have ended. */
    List<Outcome> run(long seconds) {
        for (int i = 0; i < mKinds.size(); i++) {
            scheduleArrival(i, seconds * 1_000 * MILLI);
        }
        for (Event next = mEvents.poll(); next != null; next = mEvents.poll()) {
            mNow = next.atNanos();
            next.action().run();
        }
        return mOutcomes;
    }

    private void scheduleArrival(int kind, long untilNanos) {
        double seconds = -Math.log(1 - mRandom.nextDouble()) / mKinds.get(kind).perSecond();
        long at = mNow + (long) (seconds * 1_000 * MILLI);
        if (at < untilNanos) {
            at(at, () -> arrive(kind, untilNanos));
        }
    }

    private void arrive(int kind, long untilNanos) {
        Call call = new Call(mKinds.get(kind));
        Outcome outcome = mOutcomes.get(kind);
        outcome.mArrived++;
        if (mSite == Site.ENTRY) {
            LinkLoad.Answer answer = call.answer();
            if (mLoad.admits(answer, mNow)) {
                outcome.mAdmitted++;
                call.mAwaited = mLoad.await(answer, false);
                work(call, outcome);
            }
        } else if (mQueue.offer(call, call.mRequest, mNow) == BackendQueue.Decision.START) {
            outcome.mAdmitted++;
            work(call, outcome);
        }
        scheduleArrival(kind, untilNanos);
    }

    private void work(Call call, Outcome outcome) {
        double factor = 1 - WORK_SPREAD + 2 * WORK_SPREAD * mRandom.nextDouble();
        long readyNanos = mNow + (long) (factor * call.mKind.workMillis() * MILLI);
        at(readyNanos, () -> ready(call, outcome));
    }

    private void ready(Call call, Outcome outcome) {
        if (call.mAwaited == null) {
            mQueue.release(call.mRequest);
        } else {
            mLoad.release(call.mAwaited);
        }
        mLoad.sent(call.mKind.route(), call.mKind.rank(), call.mKind.bytes(), mNow);
        mSending.add(call);
        if (mSending.size() == 1) {
            sendNext();
        }
    }

    private void sendNext() {
        Call call = mSending.peek();
        if (call != null) {
            int bytes = Math.min(mWindowBytes, call.mLeftBytes);
            call.mLeftBytes -= bytes;
            long nanos = (long) (mLoad.sendMillis(bytes) * MILLI);
            at(mNow + nanos, this::windowSent);
        }
    }

    private void windowSent() {
        Call call = mSending.remove();
        if (call.mLeftBytes > 0) {
            mSending.add(call);
        } else if (mNow <= call.targetNanos()) {
            mOutcomes.get(mKinds.indexOf(call.mKind)).mInTime++;
        }
        sendNext();
    }

    private void at(long nanos, Runnable action) {
        mEvents.add(new Event(nanos, mOrder++, action));
    }
}
