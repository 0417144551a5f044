package org.azurearch.call;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Tickets of claimed idempotency keys, folded from the claims in log order. Every node that has
 * folded the same records returns the same tickets: the first claim of a key wins until it expires,
 * by the platform's clock. Not thread-safe.
 */
public final class ClaimTable {
    private record Claim(String ticket, long atMillis) {}

    private final long mLifetimeMillis;
    private final Map<String, Claim> mClaims = new LinkedHashMap<>();
    private long mNowMillis;

    /**
     * Creates an empty table.
     *
     * @param lifetimeMillis the time after which a claim expires
     */
    public ClaimTable(long lifetimeMillis) {
        mLifetimeMillis = lifetimeMillis;
    }

    /**
     * Folds a claim.
     *
     * @param key the claimed key
     * @param ticket the ticket that the key gets if this claim is the first
     * @param atMillis when the record was appended, by the platform's clock
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

    /** Returns the ticket of a key, or null if it has no valid claim. */
    public @Nullable String ticket(String key) {
        Claim claim = mClaims.get(key);
        return claim == null || expired(claim) ? null : claim.ticket();
    }

    /**
     * Returns the ticket of a key like {@link #ticket}, but null if the claim may have expired
     * since the last record, so that a new claim has to be appended to the log.
     *
     * @param wallMillis the time, in milliseconds since the epoch
     */
    public @Nullable String ticketAt(String key, long wallMillis) {
        Claim claim = mClaims.get(key);
        return claim == null || wallMillis - claim.atMillis() >= mLifetimeMillis
                ? null
                : ticket(key);
    }

    /** Returns the number of claims. */
    public int size() {
        return mClaims.size();
    }

    private boolean expired(Claim claim) {
        return mNowMillis - claim.atMillis() >= mLifetimeMillis;
    }
}
