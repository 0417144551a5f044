package org.azurearch.admit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Calls queued for a slot, ordered by the rank of their class. Firms with calls of the same rank
 * are served in proportion to their shares, calls of one firm in order of arrival. Not thread-safe.
 *
 * @param <T> the type that stands for a call
 */
final class AdmissionQueue<T> {
    /** A queued call. */
    record QueuedCall<T>(T call, AdmissionRequest request, long expiresAtNanos) {}

    /**
     * The calls of one firm with one rank, and the number of its calls served, divided by share.
     */
    private static final class FirmQueue<T> {
        private final Deque<QueuedCall<T>> mCalls = new ArrayDeque<>();
        private double mWeightedServed;
    }

    private final TreeMap<Integer, Map<String, FirmQueue<T>>> mByRank = new TreeMap<>();
    private int mSize;

    /** Returns the number of queued calls. */
    int size() {
        return mSize;
    }

    /** Returns the number of queued calls that are served before a new one of this rank. */
    int countAhead(int rank) {
        int ahead = 0;
        for (Map<String, FirmQueue<T>> firms : mByRank.headMap(rank, true).values()) {
            for (FirmQueue<T> queue : firms.values()) {
                ahead += queue.mCalls.size();
            }
        }
        return ahead;
    }

    void add(QueuedCall<T> queued) {
        Map<String, FirmQueue<T>> firms =
                mByRank.computeIfAbsent(queued.request().rank(), rank -> new LinkedHashMap<>());
        FirmQueue<T> queue = firms.get(queued.request().firm());
        if (queue == null) {
            queue = new FirmQueue<>();
            queue.mWeightedServed = leastServed(firms);
            firms.put(queued.request().firm(), queue);
        }
        queue.mCalls.addLast(queued);
        mSize++;
    }

    /** Removes and returns the next call, or null if the queue is empty. */
    @Nullable QueuedCall<T> poll() {
        for (Map<String, FirmQueue<T>> firms : mByRank.values()) {
            FirmQueue<T> next = null;
            for (FirmQueue<T> queue : firms.values()) {
                if (!queue.mCalls.isEmpty()
                        && (next == null || queue.mWeightedServed < next.mWeightedServed)) {
                    next = queue;
                }
            }
            if (next != null) {
                QueuedCall<T> queued = next.mCalls.removeFirst();
                next.mWeightedServed += 1.0 / Math.max(1, queued.request().share());
                afterRemoval(firms, queued.request());
                return queued;
            }
        }
        return null;
    }

    /**
     * Removes and returns a call of the least urgent queued rank: the newest call of the firm with
     * the most calls. Returns null if that rank is not less urgent than the given one.
     */
    @Nullable QueuedCall<T> pollNewestBelow(int rank) {
        Map.Entry<Integer, Map<String, FirmQueue<T>>> lowest = mByRank.lastEntry();
        if (lowest == null || lowest.getKey() <= rank) {
            return null;
        }
        FirmQueue<T> longestQueue = null;
        for (FirmQueue<T> queue : lowest.getValue().values()) {
            if (longestQueue == null || queue.mCalls.size() > longestQueue.mCalls.size()) {
                longestQueue = queue;
            }
        }
        if (longestQueue == null || longestQueue.mCalls.isEmpty()) {
            return null;
        }
        QueuedCall<T> queued = longestQueue.mCalls.removeLast();
        afterRemoval(lowest.getValue(), queued.request());
        return queued;
    }

    /** Removes a call; returns false if it was not queued. */
    boolean remove(T call) {
        for (Map<String, FirmQueue<T>> firms : List.copyOf(mByRank.values())) {
            for (FirmQueue<T> queue : List.copyOf(firms.values())) {
                Iterator<QueuedCall<T>> calls = queue.mCalls.iterator();
                while (calls.hasNext()) {
                    QueuedCall<T> queued = calls.next();
                    if (queued.call() == call) {
                        calls.remove();
                        afterRemoval(firms, queued.request());
                        return true;
                    }
                }
            }
        }
        return false;
    }

    /** Removes and returns all calls that have waited too long. */
    List<QueuedCall<T>> pollExpired(long nowNanos) {
        if (mSize == 0) {
            return List.of();
        }
        List<QueuedCall<T>> expired = new ArrayList<>();
        for (Map<String, FirmQueue<T>> firms : mByRank.values()) {
            for (FirmQueue<T> queue : firms.values()) {
                for (QueuedCall<T> queued : queue.mCalls) {
                    if (nowNanos - queued.expiresAtNanos() >= 0) {
                        expired.add(queued);
                    }
                }
            }
        }
        expired.forEach(queued -> remove(queued.call()));
        return expired;
    }

    private void afterRemoval(Map<String, FirmQueue<T>> firms, AdmissionRequest request) {
        mSize--;
        FirmQueue<T> queue = firms.get(request.firm());
        boolean hasOtherFirms = firms.size() > 1;
        if (queue != null && queue.mCalls.isEmpty() && !hasOtherFirms) {
            firms.remove(request.firm());
        }
        if (firms.values().stream().allMatch(other -> other.mCalls.isEmpty())) {
            mByRank.remove(request.rank());
        }
    }

    private double leastServed(Map<String, FirmQueue<T>> firms) {
        double least = Double.MAX_VALUE;
        for (FirmQueue<T> queue : firms.values()) {
            least = queue.mCalls.isEmpty() ? least : Math.min(least, queue.mWeightedServed);
        }
        return least == Double.MAX_VALUE ? 0 : least;
    }
}
