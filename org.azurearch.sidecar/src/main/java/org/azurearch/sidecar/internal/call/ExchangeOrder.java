package org.azurearch.sidecar.internal.call;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.azurearch.sidecar.CallerLimits;
import org.jspecify.annotations.Nullable;

/**
 * The exchanges of one connection, in the order of their requests. An answer is given to an
 * exchange, never to the connection, so that it cannot take the place of another one.
 *
 * <p>Concurrent exchanges run beside each other. Any other one starts when all before it are
 * written, and those behind it start when it is written. An exchange that closes the connection
 * ends all behind it; they are not answered, and their caller sends them again.
 *
 * <p>Has no I/O. Confined to one thread.
 */
final class ExchangeOrder {
    /** A request and its answer. */
    abstract static class Exchange {
        private State mState = State.WAITING;
        private boolean mCloses;
        private long mAnswerBytes;

        /** Returns whether it may run beside others of its connection. */
        abstract boolean concurrent();

        /** Returns the size of the request, in bytes. */
        abstract long requestBytes();

        /** Starts; the answer may come before this method returns. */
        abstract void start();

        /**
         * Called while it runs and is the first, when others wait for its answer to be written.
         *
         * @param waiting the number of those that are answered already or may not start before
         */
        void delaysOthers(int waiting) {}

        /** Answers it with a refusal, unless its request was sent to a backend server. */
        void withdraw() {}

        /** Drops the exchange, which is not answered. Called at most once, also if not started. */
        abstract void cancel();

        /** Writes the answer. */
        abstract void write(boolean last);
    }

    private enum State {
        WAITING,
        RUNNING,
        ANSWERED,
        ENDED
    }

    private final CallerLimits mLimits;
    private final BooleanSupplier mBytesHeld;
    private final List<Exchange> mExchanges = new ArrayList<>();
    private long mRequestBytes;
    private long mAnswerBytes;
    private boolean mDraining;
    private boolean mClosing;
    private boolean mAdvancing;
    private boolean mHeld;

    /**
     * Creates an order without exchanges.
     *
     * @param limits the limits of a connection
     * @param bytesHeld returns whether bytes were read of which no request was taken yet
     */
    ExchangeOrder(CallerLimits limits, BooleanSupplier bytesHeld) {
        mLimits = limits;
        mBytesHeld = bytesHeld;
    }

    /** Adds the exchange of a request that arrived. Drops it if the connection is closing. */
    void add(Exchange exchange) {
        if (mClosing) {
            exchange.mState = State.ENDED;
            exchange.cancel();
            return;
        }
        mExchanges.add(exchange);
        mRequestBytes += exchange.requestBytes();
        advance();
    }

    /**
     * Records that an exchange has its answer. Does nothing if the exchange has ended.
     *
     * @param closes whether the connection closes after the answer
     * @param bytes the size of the answer
     */
    void answered(Exchange exchange, boolean closes, long bytes) {
        if (exchange.mState != State.RUNNING) {
            return;
        }
        exchange.mState = State.ANSWERED;
        exchange.mCloses = closes;
        exchange.mAnswerBytes = bytes;
        mAnswerBytes += bytes;
        if (closes) {
            mClosing = true;
            dropBehind(exchange);
        }
        advance();
    }

    /** Starts no exchange until {@link #resume}, as the caller may have left. */
    void hold() {
        mHeld = true;
    }

    /** Ends {@link #hold}. */
    void resume() {
        mHeld = false;
        advance();
    }

    /** Closes the connection once all requests that were read are answered. */
    void drain() {
        mDraining = true;
    }

    /** Withdraws all exchanges that have started. */
    void withdraw() {
        for (Exchange exchange : List.copyOf(mExchanges)) {
            if (exchange.mState == State.RUNNING) {
                exchange.withdraw();
            }
        }
    }

    /** Drops all exchanges, as the connection is closed. */
    void closed() {
        mClosing = true;
        List<Exchange> dropped = List.copyOf(mExchanges);
        mExchanges.clear();
        mRequestBytes = 0;
        mAnswerBytes = 0;
        dropped.forEach(ExchangeOrder::drop);
    }

    /** Returns whether no exchange is under way or waits. */
    boolean isEmpty() {
        return mExchanges.isEmpty();
    }

    /** Returns whether no further request may be read until an answer has been written. */
    boolean full() {
        return mExchanges.size() >= mLimits.maxRequests()
                || mRequestBytes + mAnswerBytes >= mLimits.maxBytes();
    }

    /** Returns the number of exchanges that are not answered yet. */
    int size() {
        return mExchanges.size();
    }

    /** Returns the size of all requests and of the answers that wait for their turn, in bytes. */
    long bytes() {
        return mRequestBytes + mAnswerBytes;
    }

    /** Returns the size of the answers that wait for their turn, in bytes. */
    long answerBytes() {
        return mAnswerBytes;
    }

    private void advance() {
        if (mAdvancing) {
            return;
        }
        mAdvancing = true;
        try {
            boolean changed = true;
            while (changed) {
                changed = writeNext() || startNext();
            }
            reportDelay();
        } finally {
            mAdvancing = false;
        }
    }

    private void reportDelay() {
        if (mExchanges.size() > 1 && mExchanges.get(0).mState == State.RUNNING) {
            int waiting = 0;
            for (Exchange exchange : mExchanges) {
                waiting += exchange.mState == State.RUNNING ? 0 : 1;
            }
            if (waiting > 0) {
                mExchanges.get(0).delaysOthers(waiting);
            }
        }
    }

    private boolean writeNext() {
        if (mExchanges.isEmpty() || mExchanges.get(0).mState != State.ANSWERED) {
            return false;
        }
        Exchange first = mExchanges.remove(0);
        forget(first);
        first.mState = State.ENDED;
        boolean drained = mDraining && mExchanges.isEmpty() && !mBytesHeld.getAsBoolean();
        boolean last = first.mCloses || drained;
        if (last) {
            mClosing = true;
            dropFrom(0);
        }
        first.write(last);
        return true;
    }

    private boolean startNext() {
        Exchange next = mHeld ? null : startable();
        if (next == null) {
            return false;
        }
        next.mState = State.RUNNING;
        next.start();
        return true;
    }

    private @Nullable Exchange startable() {
        for (int i = 0; i < mExchanges.size(); i++) {
            Exchange exchange = mExchanges.get(i);
            if (exchange.mState == State.WAITING) {
                return i == 0 || mayStartBehind(exchange) ? exchange : null;
            }
            if (!exchange.concurrent()) {
                return null;
            }
        }
        return null;
    }

    private boolean mayStartBehind(Exchange exchange) {
        return mAnswerBytes < mLimits.maxBytes() && exchange.concurrent();
    }

    private void dropBehind(Exchange exchange) {
        dropFrom(mExchanges.indexOf(exchange) + 1);
    }

    private void dropFrom(int index) {
        List<Exchange> tail = mExchanges.subList(index, mExchanges.size());
        List<Exchange> dropped = List.copyOf(tail);
        tail.clear();
        dropped.forEach(this::forget);
        dropped.forEach(ExchangeOrder::drop);
    }

    private void forget(Exchange exchange) {
        mRequestBytes -= exchange.requestBytes();
        mAnswerBytes -= exchange.mAnswerBytes;
    }

    private static void drop(Exchange exchange) {
        exchange.mState = State.ENDED;
        exchange.cancel();
    }
}
