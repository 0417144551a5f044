package org.azurearch.admit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.LongUnaryOperator;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.azurearch.admit.AdmissionDecision.Status;
import org.azurearch.errors.ErrorCode;
import org.junit.jupiter.api.Test;

/** Tests admission decisions with a manual clock. */
class AdmissionTest {
    private static final long MILLI = 1_000_000L;

    private final Admission<String> mAdmission = new Admission<>();
    private long mNowNanos = 1_000 * MILLI;

    @Test
    void concurrentCallsAndQueueLengthAreLimited() {
        mAdmission.configure(true, 2, mNowNanos);
        assertEquals(Status.ADMITTED, offer("a", 1).status());
        assertEquals(Status.ADMITTED, offer("b", 1).status());
        assertEquals(Status.QUEUED, offer("c", 1).status());
        assertEquals(Status.QUEUED, offer("d", 1).status());
        assertEquals(ErrorCode.OVERLOADED, offer("e", 1).refusal().code());
        assertTrue(offer("e", 1).refusal().retryAfterMillis() > 0);
        mAdmission.releaseSlot(false, 5 * MILLI, mNowNanos);
        assertEquals(List.of("+c"), effects());
        assertEquals(2, mAdmission.inUse());
    }

    @Test
    void leastUrgentQueuedCallIsShedForMoreUrgentOne() {
        mAdmission.configure(true, 1, mNowNanos);
        offer("running", 2);
        offer("history 1", 2);
        offer("history 2", 2);
        assertEquals(Status.QUEUED, offer("order", 0).status());
        assertEquals(List.of("-history 2 OVERLOADED"), effects());
        mAdmission.releaseSlot(false, MILLI, mNowNanos);
        assertEquals(List.of("+order"), effects());
    }

    @Test
    void closingRefusesAllQueuedCalls() {
        mAdmission.configure(true, 1, mNowNanos);
        offer("running", 1);
        offer("waiting", 1);
        mAdmission.configure(false, 1, mNowNanos);
        assertEquals(List.of("-waiting NO_BACKEND_SERVER"), effects());
        assertEquals(ErrorCode.NO_BACKEND_SERVER, offer("late", 0).refusal().code());
        mAdmission.releaseSlot(false, MILLI, mNowNanos);
        assertEquals(List.of(), effects());
    }

    @Test
    void callWithTooLongExpectedWaitIsRefusedAtOnce() {
        mAdmission.configure(true, 1, mNowNanos);
        for (int i = 0; i < 50; i++) {
            offer("fast" + i, 1);
            mAdmission.releaseSlot(false, 100 * MILLI, mNowNanos);
        }
        offer("running", 1);
        AdmissionDecision decision =
                mAdmission.offer("hopeless", request(1, 20 * MILLI, 500 * MILLI), mNowNanos);
        assertEquals(ErrorCode.OVERLOADED, decision.refusal().code());
    }

    @Test
    void queuedCallExpiresAtWaitLimitOrDeadline() {
        mAdmission.configure(true, 1, mNowNanos);
        offer("running", 1);
        mAdmission.offer("limited", request(1, 500 * MILLI, 100 * MILLI), mNowNanos);
        mAdmission.offer("late", request(1, 50 * MILLI, 100 * MILLI), mNowNanos);
        mNowNanos += 60 * MILLI;
        mAdmission.expire(mNowNanos);
        assertEquals(List.of("-late DEADLINE_EXCEEDED"), effects());
        mNowNanos += 60 * MILLI;
        mAdmission.expire(mNowNanos);
        assertEquals(List.of("-limited OVERLOADED"), effects());
    }

    @Test
    void queuedCallThatCannotEndBeforeItsDeadlineGetsNoSlot() {
        mAdmission.configure(true, 1, mNowNanos);
        offer("running", 1);
        mAdmission.offer("waiting", request(1, 100 * MILLI, 500 * MILLI), mNowNanos);
        mNowNanos += 95 * MILLI;
        mAdmission.releaseSlot(false, 95 * MILLI, mNowNanos);
        assertEquals(List.of("-waiting OVERLOADED"), effects());
        assertEquals(0, mAdmission.inUse());
    }

    @Test
    void firmsAreServedByShareAndRateLimited() {
        mAdmission.configure(true, 1, mNowNanos);
        offer("running", 1);
        for (int i = 0; i < 6; i++) {
            mAdmission.offer("a" + i, requestOfFirm("a", 2, 0), mNowNanos);
            mAdmission.offer("b" + i, requestOfFirm("b", 1, 0), mNowNanos);
        }
        for (int i = 0; i < 6; i++) {
            mAdmission.releaseSlot(false, MILLI, mNowNanos);
        }
        long ofA = effects().stream().filter(effect -> effect.startsWith("+a")).count();
        assertEquals(4, ofA, "two of three slots");
        Admission<String> limited = new Admission<>();
        limited.configure(true, 100, mNowNanos);
        int admitted = 0;
        for (int i = 0; i < 50; i++) {
            boolean ok = limited.offer("x", requestOfFirm("a", 1, 10), mNowNanos).refusal() == null;
            admitted += ok ? 1 : 0;
        }
        assertEquals(10, admitted);
    }

    @Test
    void limitFallsWhileTheServerShedsAndRecovers() {
        mAdmission.configure(true, 10, mNowNanos);
        for (int i = 0; i < 5; i++) {
            offer("x", 1);
            mAdmission.releaseSlot(true, MILLI, mNowNanos);
            mNowNanos += 200 * MILLI;
        }
        assertTrue(mAdmission.limit() < 5, "limit " + mAdmission.limit());
        for (int i = 0; i < 200; i++) {
            offer("x", 1);
            mAdmission.releaseSlot(false, MILLI, mNowNanos);
        }
        assertEquals(10, mAdmission.limit());
    }

    @Test
    void lowerLimitIsKeptOnlyWhereItHelps() {
        double limitWithFixedDelay = meanLimitWhileSlow(running -> 50 * MILLI);
        assertTrue(
                limitWithFixedDelay > 9.7,
                "mean limit, slow for another reason: " + limitWithFixedDelay);
        double limitWithLoadDelay = meanLimitWhileSlow(running -> running * running * MILLI);
        assertTrue(
                limitWithLoadDelay < 9,
                "mean limit, slow from too many concurrent calls: " + limitWithLoadDelay);
    }

    /** Returns the mean limit under constant load, first fast, then with the given service time. */
    private double meanLimitWhileSlow(LongUnaryOperator service) {
        Admission<String> admission = new Admission<>();
        admission.configure(true, 10, mNowNanos);
        double nanosByLimit = 0;
        long start = mNowNanos;
        for (int i = 0; mNowNanos < start + 60_000 * MILLI; i++) {
            while (admission.inUse() < admission.limit()) {
                admission.offer("x", request(1, 10_000 * MILLI, 500 * MILLI), mNowNanos);
            }
            long nanos = i < 50 ? 5 * MILLI : service.applyAsLong(admission.inUse());
            long step = nanos / admission.inUse();
            nanosByLimit += (double) step * admission.limit();
            mNowNanos += step;
            admission.releaseSlot(false, nanos, mNowNanos);
        }
        return nanosByLimit / (mNowNanos - start);
    }

    @Property(tries = 20, seed = "1")
    void atTwiceTheCapacityTopClassIsServedAndGoodputStaysHigh(
            @ForAll @IntRange(min = 1, max = 1_000) int seed) {
        Overload overload = new Overload(seed);
        overload.run();
        assertTrue(overload.goodput() >= 0.95, "goodput " + overload.goodput());
        assertTrue(overload.topSuccess() >= 0.999, "top class " + overload.topSuccess());
    }

    /**
     * Open-loop arrivals at twice the capacity of one backend server, 20% of the most urgent rank.
     */
    private static final class Overload {
        private static final int SLOTS = 6;
        private static final long SERVICE_NANOS = 10 * MILLI;
        private static final long END_NANOS = 20_000 * MILLI;

        private final Admission<String> mAdmission = new Admission<>();
        private final PriorityQueue<Long> mEnds = new PriorityQueue<>();
        private final Map<String, Integer> mCounts = new HashMap<>();
        private final SplittableRandom mRandom;

        Overload(long seed) {
            mRandom = new SplittableRandom(seed);
        }

        void run() {
            mAdmission.configure(true, SLOTS, 0);
            double gap = (double) SERVICE_NANOS / SLOTS / 2;
            double at = 0;
            while (at < END_NANOS) {
                at += -Math.log(1 - mRandom.nextDouble()) * gap;
                advance((long) at);
                boolean top = mRandom.nextInt(5) == 0;
                arrive(top, (long) at);
            }
        }

        double goodput() {
            double capacity = (double) END_NANOS / SERVICE_NANOS * SLOTS;
            return (count("top done") + count("low done")) / capacity;
        }

        double topSuccess() {
            return (double) count("top done") / (count("top done") + count("top lost"));
        }

        private void arrive(boolean top, long now) {
            AdmissionRequest request =
                    new AdmissionRequest(
                            top ? 0 : 2, "f", 1, 0, 20, 200 * MILLI, now + 1_000 * MILLI);
            AdmissionDecision decision = mAdmission.offer(top ? "top" : "low", request, now);
            if (decision.status() == Status.ADMITTED) {
                mEnds.add(now + SERVICE_NANOS);
                add(top ? "top done" : "low done");
            } else if (decision.status() == Status.REFUSED) {
                add(top ? "top lost" : "low lost");
            }
            carryOut(now);
        }

        private void advance(long now) {
            while (!mEnds.isEmpty() && mEnds.peek() <= now) {
                long end = mEnds.poll();
                mAdmission.releaseSlot(false, SERVICE_NANOS, end);
                carryOut(end);
            }
            mAdmission.expire(now);
            carryOut(now);
        }

        private void carryOut(long now) {
            for (AdmissionEffect<String> effect : mAdmission.takeEffects()) {
                boolean admitted = effect.refusal() == null;
                if (admitted) {
                    mEnds.add(now + SERVICE_NANOS);
                }
                add(effect.call() + (admitted ? " done" : " lost"));
            }
        }

        private void add(String what) {
            mCounts.merge(what, 1, Integer::sum);
        }

        private int count(String what) {
            return mCounts.getOrDefault(what, 0);
        }
    }

    private AdmissionDecision offer(String call, int priority) {
        return mAdmission.offer(call, request(priority, 1_000 * MILLI, 500 * MILLI), mNowNanos);
    }

    private AdmissionRequest request(int priority, long untilDeadline, long queueWait) {
        return new AdmissionRequest(priority, "f", 1, 0, 2, queueWait, mNowNanos + untilDeadline);
    }

    private AdmissionRequest requestOfFirm(String firm, int share, int perSecond) {
        return new AdmissionRequest(
                1, firm, share, perSecond, 20, 500 * MILLI, mNowNanos + 1_000 * MILLI);
    }

    private List<String> effects() {
        List<String> texts = new ArrayList<>();
        for (AdmissionEffect<String> effect : mAdmission.takeEffects()) {
            texts.add(
                    effect.refusal() == null
                            ? "+" + effect.call()
                            : "-" + effect.call() + " " + effect.refusal().code());
        }
        return texts;
    }
}
