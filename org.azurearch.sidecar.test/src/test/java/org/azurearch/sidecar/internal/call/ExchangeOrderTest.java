package org.azurearch.sidecar.internal.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.azurearch.sidecar.CallerLimits;

/**
 * Guards against answers that change places, requests that run beside one that may run once, and
 * requests that go on running behind an answer that closes their connection.
 */
class ExchangeOrderTest {
    private static final CallerLimits LIMITS = new CallerLimits(4, 100, 1, 0, 1);

    private boolean mBytesHeld;
    private final List<Integer> mWritten = new ArrayList<>();
    private final List<FakeExchange> mExchanges = new ArrayList<>();
    private final ExchangeOrder mOrder = new ExchangeOrder(LIMITS, () -> mBytesHeld);
    private boolean mClosed;

    private final class FakeExchange extends ExchangeOrder.Exchange {
        private final int mNumber;
        private final boolean mConcurrent;
        private final boolean mImmediate;
        private boolean mStarted;
        private boolean mAnswered;
        private boolean mCancelled;
        private boolean mWasWritten;
        private int mDelayed;

        FakeExchange(boolean concurrent, boolean immediate) {
            mNumber = mExchanges.size();
            mConcurrent = concurrent;
            mImmediate = immediate;
        }

        boolean running() {
            return mStarted && !mAnswered && !mCancelled;
        }

        @Override
        boolean concurrent() {
            return mConcurrent;
        }

        @Override
        long requestBytes() {
            return 1;
        }

        @Override
        void start() {
            assertFalse(mStarted || mCancelled, "started once, and not after it was dropped");
            assertFalse(mClosed, "nothing starts on a closed connection");
            mStarted = true;
            for (FakeExchange other : mExchanges) {
                boolean pending = other.mNumber < mNumber && !other.mWasWritten;
                assertFalse(pending && !(mConcurrent && other.mConcurrent), "runs beside another");
            }
            if (mImmediate) {
                answer(false);
            }
        }

        void answer(boolean closes) {
            mAnswered = true;
            mOrder.answered(this, closes, 10);
        }

        @Override
        void delaysOthers(int waiting) {
            assertTrue(running() && mWritten.size() == mNumber, "runs and is the first");
            mDelayed = waiting;
        }

        @Override
        void cancel() {
            assertFalse(mCancelled || mWasWritten, "dropped once, and not after its answer");
            mCancelled = true;
        }

        @Override
        void write(boolean last) {
            assertTrue(mAnswered, "written before it was answered");
            assertFalse(mClosed || mCancelled, "written after the connection was closed");
            mWasWritten = true;
            mWritten.add(mNumber);
            mClosed = last;
        }
    }

    /** Plays arrivals, answers, drains and closes in any order. */
    @Property(tries = 3_000)
    void everyAnswerKeepsItsPlace(
            @ForAll @Size(max = 60) List<@IntRange(min = 0, max = 99) Integer> steps) {
        for (int step : steps) {
            play(step);
            for (int i = 0; i < mWritten.size(); i++) {
                assertEquals(i, mWritten.get(i), "answers are written in the order of requests");
            }
        }
        for (FakeExchange exchange : mExchanges) {
            boolean behindLast = mClosed && !exchange.mWasWritten;
            assertEquals(behindLast, exchange.mCancelled && mClosed, "dropped exactly those");
        }
    }

    private void play(int step) {
        List<FakeExchange> running = mExchanges.stream().filter(FakeExchange::running).toList();
        if (step < 45 || running.isEmpty()) {
            FakeExchange next = new FakeExchange(step % 4 != 0, step % 5 == 0);
            mExchanges.add(next);
            mOrder.add(next);
        } else if (step < 95) {
            running.get(step % running.size()).answer(step % 9 == 0);
        } else if (step < 98) {
            mOrder.drain();
        } else if (!mClosed) {
            mClosed = true;
            mOrder.closed();
        }
    }

    @Example
    void concurrentRequestsRunBesideEachOther() {
        FakeExchange first = add(true);
        FakeExchange second = add(true);
        assertTrue(first.mStarted && second.mStarted);
        second.answer(false);
        assertEquals(List.of(), mWritten);
        first.answer(false);
        assertEquals(List.of(0, 1), mWritten);
    }

    @Example
    void requestThatMayRunOnceHoldsBackWhatFollows() {
        FakeExchange read = add(true);
        FakeExchange order = add(false);
        FakeExchange behind = add(true);
        assertFalse(order.mStarted || behind.mStarted);
        read.answer(false);
        assertTrue(order.mStarted);
        assertFalse(behind.mStarted);
        order.answer(false);
        assertTrue(behind.mStarted);
    }

    @Example
    void nothingBehindAnAnswerThatClosesGoesOnRunning() {
        FakeExchange first = add(true);
        FakeExchange closing = add(true);
        FakeExchange behind = add(true);
        closing.answer(true);
        assertTrue(behind.mCancelled);
        assertTrue(add(true).mCancelled);
        first.answer(false);
        assertEquals(List.of(0, 1), mWritten);
        assertTrue(mClosed);
    }

    @Example
    void drainAnswersAllThatWasReadInOrderAndThenCloses() {
        FakeExchange first = add(true);
        FakeExchange order = add(false);
        mOrder.drain();
        FakeExchange late = add(true);
        assertFalse(late.mStarted);
        first.answer(false);
        order.answer(false);
        assertFalse(mClosed);
        late.answer(false);
        assertEquals(List.of(0, 1, 2), mWritten);
        assertTrue(mClosed);
        assertTrue(add(true).mCancelled);
    }

    @Example
    void drainDoesNotCloseWhileBytesAreReadOfWhichNoRequestWasTaken() {
        FakeExchange first = add(true);
        mOrder.drain();
        mBytesHeld = true;
        first.answer(false);
        assertFalse(mClosed);
        mBytesHeld = false;
        add(true).answer(false);
        assertEquals(List.of(0, 1), mWritten);
        assertTrue(mClosed);
    }

    /** Guards against a slow head that nobody knows to hold back answers that are ready. */
    @Example
    void headIsToldWhatWaitsBehindIt() {
        FakeExchange head = add(true);
        FakeExchange second = add(true);
        FakeExchange third = add(true);
        assertEquals(0, head.mDelayed);
        third.answer(false);
        assertEquals(1, head.mDelayed);
        add(false);
        assertEquals(2, head.mDelayed);
        head.answer(false);
        assertEquals(2, second.mDelayed);
    }

    @Example
    void nothingStartsWhileHeld() {
        FakeExchange running = add(true);
        mOrder.hold();
        FakeExchange next = add(true);
        running.answer(false);
        assertEquals(List.of(0), mWritten);
        assertFalse(next.mStarted);
        mOrder.resume();
        assertTrue(next.mStarted);
    }

    @Example
    void whatWasHeldIsDroppedWithTheConnection() {
        mOrder.hold();
        FakeExchange held = add(true);
        mOrder.closed();
        mOrder.resume();
        assertFalse(held.mStarted);
        assertTrue(held.mCancelled);
    }

    @Example
    void heldAnswersAreBounded() {
        add(true);
        for (int i = 0; i < 3; i++) {
            assertFalse(mOrder.full());
            add(true);
        }
        assertTrue(mOrder.full());
    }

    private FakeExchange add(boolean concurrent) {
        FakeExchange exchange = new FakeExchange(concurrent, false);
        mExchanges.add(exchange);
        mOrder.add(exchange);
        return exchange;
    }
}
