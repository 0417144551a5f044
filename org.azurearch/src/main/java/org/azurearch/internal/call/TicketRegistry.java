package org.azurearch.internal.call;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.azurearch.call.OutcomeTable;
import org.azurearch.call.StoredOutcome;
import org.azurearch.lib.NodeId;
import org.azurearch.time.TimeSource;

/** Issues this node's tickets and stores the outcomes of their requests. Thread-safe. */
final class TicketRegistry {
    /** A repeated request that waits for the outcome of the first one with its ticket. */
    interface Waiter {
        /** Handles the outcome; may be called on any thread. */
        void outcome(StoredOutcome outcome);

        /** Handles that the first request did not run; may be called on any thread. */
        void notRun();
    }

    private static final int MAX_ENTRIES = 20_000;
    private static final long MAX_BODY_BYTES = 16L * 1024 * 1024;

    private final NodeId mNode;
    private final String mEpoch;
    private final TimeSource mTime;
    private final Duration mLifetime;
    private final AtomicLong mLastNumber = new AtomicLong();
    private final OutcomeTable<Waiter> mOutcomes;

    /**
     * Creates a registry.
     *
     * @param epoch identifies this process among all processes of this node
     * @param lifetime how long a ticket is valid
     */
    TicketRegistry(
            NodeId node, String epoch, TimeSource time, Duration lifetime, MetricRegistry metrics) {
        mNode = node;
        mEpoch = epoch;
        mTime = time;
        mLifetime = lifetime;
        mOutcomes = new OutcomeTable<>(MAX_ENTRIES, MAX_BODY_BYTES, lifetime.toNanos());
        metrics.gauge("calls.tickets.remembered", () -> (Gauge<Integer>) this::size);
    }

    /** Issues a ticket. */
    Ticket issue() {
        return new Ticket(mNode, mEpoch, mLastNumber.incrementAndGet(), mTime.millis());
    }

    /** Returns whether this process issued a ticket. */
    boolean issuedHere(Ticket ticket) {
        return ticket.home().equals(mNode) && ticket.epoch().equals(mEpoch);
    }

    /** Returns whether a ticket issued by this process has expired. */
    boolean expired(Ticket ticket) {
        return mTime.millis() - ticket.issuedMillis() > mLifetime.toMillis();
    }

    /** Decides whether a request with a ticket issued by this process may run. */
    synchronized OutcomeTable.Decision begin(Ticket ticket, String fingerprint, Waiter waiter) {
        return mOutcomes.begin(ticket.key(), fingerprint, waiter, mTime.nanos());
    }

    /** Stores an outcome and passes it to the waiting requests. */
    void complete(Ticket ticket, StoredOutcome outcome) {
        List<Waiter> waiting;
        synchronized (this) {
            waiting = mOutcomes.complete(ticket.key(), outcome, mTime.nanos());
        }
        waiting.forEach(waiter -> waiter.outcome(outcome));
    }

    /** Removes the entry of a request that did not run and notifies the waiting requests. */
    void release(Ticket ticket) {
        List<Waiter> waiting;
        synchronized (this) {
            waiting = mOutcomes.release(ticket.key());
        }
        waiting.forEach(Waiter::notRun);
    }

    /** Removes a waiting request. */
    synchronized void removeWaiting(Ticket ticket, Waiter waiter) {
        mOutcomes.removeWaiting(ticket.key(), waiter);
    }

    private synchronized int size() {
        return mOutcomes.size();
    }
}
