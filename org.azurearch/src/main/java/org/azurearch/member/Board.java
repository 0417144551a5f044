package org.azurearch.member;

import java.time.Duration;
import java.util.List;

/**
 * A small replicated map whose entries spread with the membership and expire. Of two entries with
 * one key the one with the later expiry holds.
 */
public interface Board {
    /**
     * An entry.
     *
     * @param kind the kind, which names the part that uses it
     * @param key the key within the kind
     * @param value the value
     * @param expiresAtMillis when it expires, in milliseconds since the epoch
     */
    record Entry(String kind, String key, String value, long expiresAtMillis) {}

    /**
     * Writes an entry and spreads it.
     *
     * @param timeToLive how long it holds
     */
    void put(String kind, String key, String value, Duration timeToLive);

    /** Returns the entries of a kind that have not expired. */
    List<Entry> entries(String kind);

    /** Adds a listener that is called after an entry was added or changed. */
    void listen(Runnable listener);
}
