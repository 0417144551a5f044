package org.azurearch.call;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Decides which of several requests with one ticket runs, and remembers the outcome for the others.
 * Does no I/O and reads no clock. Not thread-safe.
 *
 * <p>An entry is kept for a lifetime after its request ended. When there is no room, new requests
 * are refused; nothing is forgotten early, since a forgotten request could run twice.
 *
 * @param <W> the type that stands for a request
 */
public final class OutcomeTable<W> {
    /** What a request with a ticket has to do. */
    public enum Status {
        /** It is the first one and runs. */
        FIRST,
        /** The first one is under way; the outcome follows. */
        WAITING,
        /** The outcome is known. */
        KNOWN,
        /** The ticket was used for another request. */
        MISMATCH,
        /** There is no room to remember the request; it must not run. */
        FULL
    }

    /**
     * A decision.
     *
     * @param status what the request has to do
     * @param outcome the outcome where it is known, else null
     */
    public record Decision(Status status, @Nullable StoredOutcome outcome) {}

    /** What is remembered of a ticket. */
    private static final class Entry<W> {
        private final String mFingerprint;
        private final List<W> mWaiting = new ArrayList<>();
        private @Nullable StoredOutcome mOutcome;
        private long mEndedNanos;

        Entry(String fingerprint) {
            mFingerprint = fingerprint;
        }
    }

    private final int mMaxEntries;
    private final long mMaxBodyBytes;
    private final long mLifetimeNanos;
    private final Map<String, Entry<W>> mEntries = new LinkedHashMap<>();
    private long mBodyBytes;

    /**
     * Creates an empty memory.
     *
     * @param maxEntries the most requests remembered
     * @param maxBodyBytes the most bytes of answers kept; above it only their heads are
     * @param lifetimeNanos how long an outcome is kept; at least as long as a ticket is valid
     */
    public OutcomeTable(int maxEntries, long maxBodyBytes, long lifetimeNanos) {
        mMaxEntries = maxEntries;
        mMaxBodyBytes = maxBodyBytes;
        mLifetimeNanos = lifetimeNanos;
    }

    /**
     * Decides on a request.
     *
     * @param ticket identifies the ticket
     * @param fingerprint what repetitions of one request have in common
     * @param request stands for the request when it has to wait
     * @param nowNanos the time
     */
    public Decision begin(String ticket, String fingerprint, W request, long nowNanos) {
        expire(nowNanos);
        Entry<W> entry = mEntries.get(ticket);
        if (entry == null) {
            if (mEntries.size() >= mMaxEntries) {
                return new Decision(Status.FULL, null);
            }
            mEntries.put(ticket, new Entry<>(fingerprint));
            return new Decision(Status.FIRST, null);
        }
        if (!entry.mFingerprint.equals(fingerprint)) {
            return new Decision(Status.MISMATCH, null);
        }
        if (entry.mOutcome != null) {
            return new Decision(Status.KNOWN, entry.mOutcome);
        }
        entry.mWaiting.add(request);
        return new Decision(Status.WAITING, null);
    }

    /**
     * Remembers the outcome of the request that ran.
     *
     * @return the requests that waited for it
     */
    public List<W> complete(String ticket, StoredOutcome outcome, long nowNanos) {
        Entry<W> entry = mEntries.remove(ticket);
        if (entry == null) {
            return List.of();
        }
        entry.mOutcome = withinBodyLimit(outcome);
        entry.mEndedNanos = nowNanos;
        mBodyBytes += entry.mOutcome.body().length;
        mEntries.put(ticket, entry);
        return takeWaiting(entry);
    }

    /**
     * Forgets a request that certainly did not run, so that a repetition may run.
     *
     * @return the requests that waited for its outcome
     */
    public List<W> release(String ticket) {
        Entry<W> entry = mEntries.remove(ticket);
        return entry == null ? List.of() : takeWaiting(entry);
    }

    /** Takes back a request that waited. */
    public void removeWaiting(String ticket, W request) {
        Entry<W> entry = mEntries.get(ticket);
        if (entry != null) {
            entry.mWaiting.remove(request);
        }
    }

    /** Returns how many requests are remembered. */
    public int size() {
        return mEntries.size();
    }

    private void expire(long nowNanos) {
        Iterator<Entry<W>> entries = mEntries.values().iterator();
        while (entries.hasNext()) {
            Entry<W> entry = entries.next();
            if (entry.mOutcome == null) {
                continue;
            }
            if (nowNanos - entry.mEndedNanos < mLifetimeNanos) {
                return;
            }
            mBodyBytes -= entry.mOutcome.body().length;
            entries.remove();
        }
    }

    private StoredOutcome withinBodyLimit(StoredOutcome outcome) {
        return mBodyBytes + outcome.body().length <= mMaxBodyBytes
                ? outcome
                : outcome.withoutBody();
    }

    private static <W> List<W> takeWaiting(Entry<W> entry) {
        List<W> waiting = List.copyOf(entry.mWaiting);
        entry.mWaiting.clear();
        return waiting;
    }
}
