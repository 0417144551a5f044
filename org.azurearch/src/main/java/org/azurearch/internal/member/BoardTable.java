package org.azurearch.internal.member;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.azurearch.member.Board;
import org.jspecify.annotations.Nullable;

/** The entries of the board, bounded in number, size and time to live. */
final class BoardTable {
    /** Maximum length of kind, key and value. */
    static final int MAX_TEXT_CHARS = 256;

    static final long MAX_TIME_TO_LIVE_MILLIS = 86_400_000L;

    private record EntryKey(String kind, String key) {}

    private final int mMaxEntries;
    private final Map<EntryKey, Board.Entry> mEntries = new HashMap<>();
    private final PriorityQueue<Board.Entry> mByExpiry =
            new PriorityQueue<>((a, b) -> Long.compare(a.expiresAtMillis(), b.expiresAtMillis()));
    private long mHash;

    BoardTable(int maxEntries) {
        mMaxEntries = maxEntries;
    }

    /**
     * Adds an entry if it is newer than the current one of its kind and key. When the board is
     * full, the entry that expires first is evicted, or the new one is rejected if it expires no
     * later.
     *
     * @return whether the entry was added
     */
    boolean merge(Board.Entry entry, long wallMillis) {
        if (!isWithinLimits(entry, wallMillis)) {
            return false;
        }
        Board.Entry current = mEntries.get(keyOf(entry));
        if (current != null && !isNewer(entry, current)) {
            return false;
        }
        if (current == null && mEntries.size() >= mMaxEntries && !evictFor(entry)) {
            return false;
        }
        remove(current);
        mEntries.put(keyOf(entry), entry);
        mByExpiry.add(entry);
        mHash += Hashes.of(entry);
        return true;
    }

    /** Removes the entries that have expired; returns whether there were any. */
    boolean expire(long wallMillis) {
        boolean changed = false;
        Board.Entry first = mByExpiry.peek();
        while (first != null && first.expiresAtMillis() <= wallMillis) {
            remove(first);
            changed = true;
            first = mByExpiry.peek();
        }
        return changed;
    }

    List<Board.Entry> all() {
        return new ArrayList<>(mEntries.values());
    }

    /** Returns the hash over all entries, which does not depend on their order. */
    long hash() {
        return mHash;
    }

    private static boolean isWithinLimits(Board.Entry entry, long wallMillis) {
        long left = entry.expiresAtMillis() - wallMillis;
        return left > 0
                && left <= MAX_TIME_TO_LIVE_MILLIS
                && entry.kind().length() <= MAX_TEXT_CHARS
                && entry.key().length() <= MAX_TEXT_CHARS
                && entry.value().length() <= MAX_TEXT_CHARS;
    }

    /**
     * Of two entries with the same expiry, the one with the greater value wins, so that all nodes
     * agree.
     */
    private static boolean isNewer(Board.Entry entry, Board.Entry current) {
        return entry.expiresAtMillis() != current.expiresAtMillis()
                ? entry.expiresAtMillis() > current.expiresAtMillis()
                : entry.value().compareTo(current.value()) > 0;
    }

    private boolean evictFor(Board.Entry entry) {
        Board.Entry first = mByExpiry.peek();
        if (first == null || first.expiresAtMillis() >= entry.expiresAtMillis()) {
            return false;
        }
        remove(first);
        return true;
    }

    private void remove(Board.@Nullable Entry entry) {
        if (entry != null) {
            mEntries.remove(keyOf(entry));
            mByExpiry.remove(entry);
            mHash -= Hashes.of(entry);
        }
    }

    private static EntryKey keyOf(Board.Entry entry) {
        return new EntryKey(entry.kind(), entry.key());
    }
}
