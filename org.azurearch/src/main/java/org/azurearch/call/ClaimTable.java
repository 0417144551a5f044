package org.azurearch.call;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Who has claimed which key, folded from the claims in the order of the log. Every node that has
 * folded the same records gives the same answer: the first claim wins until it expires, by the
 * platform's clock. Not thread-safe.
 */
public final class ClaimTable {
    private record Claim(String ticket, long atMillis) {}

    private final long mLifetimeMillis;
    private final Map<String, Claim> mClaims = new LinkedHashMap<>();
    private long mNowMillis;

    /**
     * Creates an empty table.
     *
     * @param lifetimeMillis how long a claim holds
     */
    public ClaimTable(long lifetimeMillis) {
        mLifetimeMillis = lifetimeMillis;
    }

    /**
     * Folds a claim.
     *
     * @param key what is claimed
     * @param ticket the ticket that the claim gives to the key if it is the first
     * @param atMillis when the platform took the record, by its clock
     */
    public void apply(String key, String ticket, long atMillis) {
        mNowMillis = Math.max(mNowMillis, atMillis);
        Claim before = mClaims.get(key);
        if (before == null || expired(before)) {
            mClaims.remove(key);
            mClaims.put(key, new Claim(ticket, mNowMillis));
        }
        Iterator<Claim> oldest = mClaims.values().iterator();
        while (oldest.hasNext() && expired(oldest.next())) {
            oldest.remove();
        }
    }

    /** Returns the ticket that the first claim gave to a key, or null when there is none. */
    public @Nullable String ticket(String key) {
        Claim claim = mClaims.get(key);
        return claim == null || expired(claim) ? null : claim.ticket();
    }

    /**
     * Returns the ticket of a key like {@link #ticket}, but null when the claim may have expired by
     * now, so that a further claim has to ask the log.
     *
     * @param wallMillis the time, in milliseconds since the epoch
     */
    public @Nullable String ticketAt(String key, long wallMillis) {
        Claim claim = mClaims.get(key);
        return claim == null || wallMillis - claim.atMillis() >= mLifetimeMillis
                ? null
                : ticket(key);
    }

    /** Returns how many claims hold. */
    public int size() {
        return mClaims.size();
    }

    private boolean expired(Claim claim) {
        return mNowMillis - claim.atMillis() >= mLifetimeMillis;
    }
}
