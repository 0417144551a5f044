package org.azurearch.internal.call;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.azurearch.call.OutcomeMemory;
import org.azurearch.call.StoredOutcome;
import org.azurearch.lib.NodeId;
import org.azurearch.time.TimeSource;

/** Issues this node's tickets and remembers what became of them. Thread-safe. */
final class TicketRegistry {
    /** A request that waits for the outcome of an earlier one with its ticket. */
    interface Waiter {
        /** The outcome is known; may be called on any thread. */
        void outcome(StoredOutcome outcome);

        /** The earlier request certainly did not run; may be called on any thread. */
        void notRun();
    }

    private static final int MAX_ENTRIES = 20_000;
    private static final long MAX_BODY_BYTES = 16L * 1024 * 1024;

    private final NodeId mNode;
    private final String mEpoch;
    private final TimeSource mTime;
    private final Duration mLifetime;
    private final AtomicLong mLastNumber = new AtomicLong();
    private final OutcomeMemory<Waiter> mOutcomes;

    /**
     * Creates a desk.
     *
     * @param epoch differs from that of every other process of this node
     * @param lifetime how long a ticket is valid
     */
    TicketRegistry(
            NodeId node, String epoch, TimeSource time, Duration lifetime, MetricRegistry metrics) {
        mNode = node;
        mEpoch = epoch;
        mTime = time;
        mLifetime = lifetime;
        mOutcomes = new OutcomeMemory<>(MAX_ENTRIES, MAX_BODY_BYTES, lifetime.toNanos());
        metrics.gauge("calls.tickets.remembered", () -> (Gauge<Integer>) this::remembered);
    }

    /** Issues a ticket. */
    Ticket issue() {
        return new Ticket(mNode, mEpoch, mLastNumber.incrementAndGet(), mTime.millis());
    }

    /** Says whether this process issued a ticket. */
    boolean issuedHere(Ticket ticket) {
        return ticket.home().equals(mNode) && ticket.epoch().equals(mEpoch);
    }

    /** Says whether a ticket issued here is too old to be used. */
    boolean expired(Ticket ticket) {
        return mTime.millis() - ticket.issuedMillis() > mLifetime.toMillis();
    }

    /** Decides on a request with a ticket issued here. */
    synchronized OutcomeMemory.Decision begin(Ticket ticket, String fingerprint, Waiter waiter) {
        return mOutcomes.begin(ticket.key(), fingerprint, waiter, mTime.nanos());
    }

    /** Remembers an outcome and tells it to those who wait. */
    void complete(Ticket ticket, StoredOutcome outcome) {
        List<Waiter> waiting;
        synchronized (this) {
            waiting = mOutcomes.complete(ticket.key(), outcome, mTime.nanos());
        }
        waiting.forEach(waiter -> waiter.outcome(outcome));
    }

    /** Forgets a request that certainly did not run. */
    void release(Ticket ticket) {
        List<Waiter> waiting;
        synchronized (this) {
            waiting = mOutcomes.release(ticket.key());
        }
        waiting.forEach(Waiter::notRun);
    }

    /** Takes back a request that waited. */
    synchronized void abandon(Ticket ticket, Waiter waiter) {
        mOutcomes.abandon(ticket.key(), waiter);
    }

    private synchronized int remembered() {
        return mOutcomes.size();
    }
}
