package org.azurearch.sidecar.admit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Simulates a constant load on a queue with a manual clock; every request takes the same work. */
final class LoadSimulation {
    private static final long MILLI = 1_000_000L;
    private static final long TARGET_MILLIS = 400;
    private static final long DEADLINE_MILLIS = 1_500;

    private record Call(String kind, long arrivedMillis, QueuedRequest request) {}

    private record Running(Call call, long endsMillis) {}

    private final BackendQueue<Call> mQueue;
    private final long mWorkMillis;
    private final List<Running> mRunning = new ArrayList<>();
    private final Map<String, Integer> mArrived = new HashMap<>();
    private final Map<String, Integer> mInTime = new HashMap<>();
    private int mRefused;
    private int mRefusedEarly;

    @SuppressWarnings("unchecked")
    LoadSimulation(BackendQueue<String> queue, long workMillis) {
        mQueue = (BackendQueue<Call>) (BackendQueue<?>) queue;
        mWorkMillis = workMillis;
    }

    /**
     * Runs the simulation.
     *
     * @param millis for how long requests arrive
     * @param everyMillis the time between two arrivals
     * @param urgentEvery one in this number of arrivals is urgent
     */
    void run(long millis, long everyMillis, int urgentEvery) {
        for (long now = 0; now < millis + DEADLINE_MILLIS; now++) {
            finish(now);
            if (now < millis && now % everyMillis == 0) {
                arrive(now, (now / everyMillis) % urgentEvery == 0 ? "urgent" : "patient");
            }
            for (Call expired : mQueue.removeExpired(now * MILLI)) {
                refused(expired, now);
            }
            for (Call next = mQueue.startNext(now * MILLI);
                    next != null;
                    next = mQueue.startNext(now * MILLI)) {
                mRunning.add(new Running(next, now + mWorkMillis));
            }
        }
    }

    /** Returns the fraction of a kind's callers that were answered within the target. */
    double inTime(String kind) {
        return mInTime.getOrDefault(kind, 0) / (double) mArrived.getOrDefault(kind, 1);
    }

    /** Returns the fraction of refusals that came within an eighth of the target. */
    double refusedEarly() {
        return mRefused == 0 ? 1 : mRefusedEarly / (double) mRefused;
    }

    private void arrive(long now, String kind) {
        mArrived.merge(kind, 1, Integer::sum);
        QueuedRequest request =
                new QueuedRequest(
                        kind,
                        kind.equals("urgent") ? 1 : 2,
                        false,
                        (now + TARGET_MILLIS) * MILLI,
                        (now + DEADLINE_MILLIS) * MILLI,
                        mWorkMillis);
        Call call = new Call(kind, now, request);
        switch (mQueue.offer(call, request, now * MILLI)) {
            case START -> mRunning.add(new Running(call, now + mWorkMillis));
            case REFUSE -> refused(call, now);
            default -> {}
        }
    }

    private void refused(Call call, long now) {
        mRefused++;
        mRefusedEarly += now - call.arrivedMillis() <= TARGET_MILLIS / 8 ? 1 : 0;
    }

    private void finish(long now) {
        for (Running running : List.copyOf(mRunning)) {
            if (running.endsMillis() <= now) {
                mRunning.remove(running);
                mQueue.release(running.call().request());
                boolean inTime = now - running.call().arrivedMillis() <= TARGET_MILLIS;
                mInTime.merge(running.call().kind(), inTime ? 1 : 0, Integer::sum);
            }
        }
    }
}
