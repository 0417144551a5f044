package org.azurearch.call;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Lets only one of several requests with the same ticket run, and stores its outcome for the
 * others. Does no I/O and reads no clock. Not thread-safe.
 *
 * <p>An entry expires one lifetime after its request ended. If the table is full, new requests are
 * refused; no entry is evicted early, since its request could then run twice.
 *
 * @param <W> the type that represents a request
 */
public final class OutcomeTable<W> {
    /** How to proceed with a request. */
    public enum Status {
        /** It is the first with its ticket and has to run. */
        FIRST,
        /** The first one is running; this one waits for its outcome. */
        WAITING,
        /** The outcome is stored. */
        KNOWN,
        /** The ticket was used for a different request. */
        MISMATCH,
        /** The table is full; the request must not run. */
        FULL
    }

    /**
     * The decision on a request.
     *
     * @param status how to proceed
     * @param outcome the outcome if the status is {@link Status#KNOWN}, else null
     */
    public record Decision(Status status, @Nullable StoredOutcome outcome) {}

    /** The state of a ticket. */
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
     * Creates an empty table.
     *
     * @param maxEntries the maximum number of requests stored
     * @param maxBodyBytes the maximum total size of stored bodies; further outcomes are stored
     *     without their bodies
     * @param lifetimeNanos how long an outcome is kept; at least as long as a ticket is valid
     */
    public OutcomeTable(int maxEntries, long maxBodyBytes, long lifetimeNanos) {
        mMaxEntries = maxEntries;
        mMaxBodyBytes = maxBodyBytes;
        mLifetimeNanos = lifetimeNanos;
    }

    /**
     * Decides how to proceed with a request, and registers it.
     *
     * @param ticket the ticket's key
     * @param fingerprint a value that is equal for repetitions of one request
     * @param request the request, which is returned with the outcome if it has to wait
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
     * Stores the outcome of the request that ran.
     *
     * @return the requests that waited for it, which are removed
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
     * Removes the entry of a request that has not run, so that a repetition may run.
     *
     * @return the requests that waited for its outcome
     */
    public List<W> release(String ticket) {
        Entry<W> entry = mEntries.remove(ticket);
        return entry == null ? List.of() : takeWaiting(entry);
    }

    /** Removes a waiting request. */
    public void removeWaiting(String ticket, W request) {
        Entry<W> entry = mEntries.get(ticket);
        if (entry != null) {
            entry.mWaiting.remove(request);
        }
    }

    /** Returns the number of entries. */
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
