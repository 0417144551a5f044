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
    private long mNow = 1_000 * MILLI;

    @Test
    void concurrentCallsAndQueueLengthAreLimited() {
        mAdmission.configure(true, 2, mNow);
        assertEquals(Status.ADMITTED, offer("a", 1).status());
        assertEquals(Status.ADMITTED, offer("b", 1).status());
        assertEquals(Status.QUEUED, offer("c", 1).status());
        assertEquals(Status.QUEUED, offer("d", 1).status());
        assertEquals(ErrorCode.OVERLOADED, offer("e", 1).refusal().code());
        assertTrue(offer("e", 1).refusal().retryAfterMillis() > 0);
        mAdmission.completed(false, 5 * MILLI, mNow);
        assertEquals(List.of("+c"), effects());
        assertEquals(2, mAdmission.inUse());
    }

    @Test
    void leastUrgentQueuedCallIsShedForMoreUrgentOne() {
        mAdmission.configure(true, 1, mNow);
        offer("running", 2);
        offer("history 1", 2);
        offer("history 2", 2);
        assertEquals(Status.QUEUED, offer("order", 0).status());
        assertEquals(List.of("-history 2 OVERLOADED"), effects());
        mAdmission.completed(false, MILLI, mNow);
        assertEquals(List.of("+order"), effects());
    }

    @Test
    void closingRefusesAllQueuedCalls() {
        mAdmission.configure(true, 1, mNow);
        offer("running", 1);
        offer("waiting", 1);
        mAdmission.configure(false, 1, mNow);
        assertEquals(List.of("-waiting NO_BACKEND_SERVER"), effects());
        assertEquals(ErrorCode.NO_BACKEND_SERVER, offer("late", 0).refusal().code());
        mAdmission.completed(false, MILLI, mNow);
        assertEquals(List.of(), effects());
    }

    @Test
    void callWithTooLongExpectedWaitIsRefusedAtOnce() {
        mAdmission.configure(true, 1, mNow);
        for (int i = 0; i < 50; i++) {
            offer("fast" + i, 1);
            mAdmission.completed(false, 100 * MILLI, mNow);
        }
        offer("running", 1);
        AdmissionDecision hopeless =
                mAdmission.offer("hopeless", request(1, 20 * MILLI, 500 * MILLI), mNow);
        assertEquals(ErrorCode.OVERLOADED, hopeless.refusal().code());
    }

    @Test
    void queuedCallExpiresAtWaitLimitOrDeadline() {
        mAdmission.configure(true, 1, mNow);
        offer("running", 1);
        mAdmission.offer("limited", request(1, 500 * MILLI, 100 * MILLI), mNow);
        mAdmission.offer("late", request(1, 50 * MILLI, 100 * MILLI), mNow);
        mNow += 60 * MILLI;
        mAdmission.expire(mNow);
        assertEquals(List.of("-late DEADLINE_EXCEEDED"), effects());
        mNow += 60 * MILLI;
        mAdmission.expire(mNow);
        assertEquals(List.of("-limited OVERLOADED"), effects());
    }

    @Test
    void queuedCallThatCannotEndBeforeItsDeadlineGetsNoSlot() {
        mAdmission.configure(true, 1, mNow);
        offer("running", 1);
        mAdmission.offer("waiting", request(1, 100 * MILLI, 500 * MILLI), mNow);
        mNow += 95 * MILLI;
        mAdmission.completed(false, 95 * MILLI, mNow);
        assertEquals(List.of("-waiting OVERLOADED"), effects());
        assertEquals(0, mAdmission.inUse());
    }

    @Test
    void firmsAreServedByShareAndRateLimited() {
        mAdmission.configure(true, 1, mNow);
        offer("running", 1);
        for (int i = 0; i < 6; i++) {
            mAdmission.offer("a" + i, firm("a", 2, 0), mNow);
            mAdmission.offer("b" + i, firm("b", 1, 0), mNow);
        }
        for (int i = 0; i < 6; i++) {
            mAdmission.completed(false, MILLI, mNow);
        }
        long ofA = effects().stream().filter(effect -> effect.startsWith("+a")).count();
        assertEquals(4, ofA, "two of three slots");
        Admission<String> limited = new Admission<>();
        limited.configure(true, 100, mNow);
        int admitted = 0;
        for (int i = 0; i < 50; i++) {
            boolean ok = limited.offer("x", firm("a", 1, 10), mNow).refusal() == null;
            admitted += ok ? 1 : 0;
        }
        assertEquals(10, admitted);
    }

    @Test
    void limitFallsWhileTheServerShedsAndRecovers() {
        mAdmission.configure(true, 10, mNow);
        for (int i = 0; i < 5; i++) {
            offer("x", 1);
            mAdmission.completed(true, MILLI, mNow);
            mNow += 200 * MILLI;
        }
        assertTrue(mAdmission.limit() < 5, "limit " + mAdmission.limit());
        for (int i = 0; i < 200; i++) {
            offer("x", 1);
            mAdmission.completed(false, MILLI, mNow);
        }
        assertEquals(10, mAdmission.limit());
    }

    @Test
    void lowerLimitIsKeptOnlyWhereItHelps() {
        double other = meanLimitWhileSlow(running -> 50 * MILLI);
        assertTrue(other > 9.7, "mean limit, slow for another reason: " + other);
        double crowded = meanLimitWhileSlow(running -> running * running * MILLI);
        assertTrue(crowded < 9, "mean limit, slow from too many concurrent calls: " + crowded);
    }

    /** Returns the mean limit under constant load, first fast, then with the given service time. */
    private double meanLimitWhileSlow(LongUnaryOperator service) {
        Admission<String> admission = new Admission<>();
        admission.configure(true, 10, mNow);
        double nanosByLimit = 0;
        long start = mNow;
        for (int i = 0; mNow < start + 60_000 * MILLI; i++) {
            while (admission.inUse() < admission.limit()) {
                admission.offer("x", request(1, 10_000 * MILLI, 500 * MILLI), mNow);
            }
            long nanos = i < 50 ? 5 * MILLI : service.applyAsLong(admission.inUse());
            long step = nanos / admission.inUse();
            nanosByLimit += (double) step * admission.limit();
            mNow += step;
            admission.completed(false, nanos, mNow);
        }
        return nanosByLimit / (mNow - start);
    }

    @Property(tries = 20, seed = "1")
    void atTwiceTheCapacityTopClassIsServedAndGoodputStaysHigh(
            @ForAll @IntRange(min = 1, max = 1_000) int seed) {
        Overload overload = new Overload(seed);
        overload.run();
        assertTrue(overload.goodput() >= 0.95, "goodput " + overload.goodput());
        assertTrue(overload.topSuccess() >= 0.999, "top class " + overload.topSuccess());
    }

    /** Open-loop arrivals at twice the capacity of one backend server, 20% of the top class. */
    private static final class Overload {
        private static final int SLOTS = 6;
        private static final long SERVICE = 10 * MILLI;
        private static final long END = 20_000 * MILLI;

        private final Admission<String> mAdmission = new Admission<>();
        private final PriorityQueue<Long> mEnds = new PriorityQueue<>();
        private final Map<String, Integer> mCounts = new HashMap<>();
        private final SplittableRandom mRandom;

        Overload(long seed) {
            mRandom = new SplittableRandom(seed);
        }

        void run() {
            mAdmission.configure(true, SLOTS, 0);
            double gap = (double) SERVICE / SLOTS / 2;
            double at = 0;
            while (at < END) {
                at += -Math.log(1 - mRandom.nextDouble()) * gap;
                advance((long) at);
                boolean top = mRandom.nextInt(5) == 0;
                arrive(top, (long) at);
            }
        }

        double goodput() {
            double capacity = (double) END / SERVICE * SLOTS;
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
                mEnds.add(now + SERVICE);
                add(top ? "top done" : "low done");
            } else if (decision.status() == Status.REFUSED) {
                add(top ? "top lost" : "low lost");
            }
            carryOut(now);
        }

        private void advance(long now) {
            while (!mEnds.isEmpty() && mEnds.peek() <= now) {
                long end = mEnds.poll();
                mAdmission.completed(false, SERVICE, end);
                carryOut(end);
            }
            mAdmission.expire(now);
            carryOut(now);
        }

        private void carryOut(long now) {
            for (AdmissionEffect<String> effect : mAdmission.takeEffects()) {
                boolean admitted = effect.refusal() == null;
                if (admitted) {
                    mEnds.add(now + SERVICE);
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
        return mAdmission.offer(call, request(priority, 1_000 * MILLI, 500 * MILLI), mNow);
    }

    private AdmissionRequest request(int priority, long untilDeadline, long queueWait) {
        return new AdmissionRequest(priority, "f", 1, 0, 2, queueWait, mNow + untilDeadline);
    }

    private AdmissionRequest firm(String firm, int share, int perSecond) {
        return new AdmissionRequest(
                1, firm, share, perSecond, 20, 500 * MILLI, mNow + 1_000 * MILLI);
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
