package org.azurearch.member;

import java.time.Duration;
import java.util.List;

/**
 * A small replicated map whose entries travel with the membership gossip and expire. Of two entries
 * with the same key, the one with the later expiry wins.
 */
public interface Board {
    /**
     * An entry of the board.
     *
     * @param kind the kind, which identifies the component that uses the entry
     * @param key the key within the kind
     * @param value the value
     * @param expiresAtMillis when it expires, in milliseconds since the epoch
     */
    record Entry(String kind, String key, String value, long expiresAtMillis) {}

    /**
     * Writes an entry and replicates it to the peers.
     *
     * @param timeToLive how long the entry is valid
     */
    void put(String kind, String key, String value, Duration timeToLive);

    /** Returns the entries of a kind that have not expired. */
    List<Entry> entries(String kind);

    /** Adds a listener that is called after an entry was added or changed. */
    void addListener(Runnable listener);
}
