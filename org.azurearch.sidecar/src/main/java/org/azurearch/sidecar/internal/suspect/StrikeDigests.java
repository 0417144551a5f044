package org.azurearch.sidecar.internal.suspect;

import java.util.ArrayList;
import java.util.List;
import org.azurearch.internal.member.Hashes;

/**
 * Digests of a set of strikes, one for each bucket of them, so that two nodes find out which part
 * of their sets differs. Sums, so that the order of changes does not matter. Confined to one
 * thread.
 */
final class StrikeDigests {
    /** A few hundred strikes are usual after a burst of crashes, so that some share a bucket. */
    static final int BUCKETS = 16;

    private final long[] mSums = new long[BUCKETS];

    /** Returns the number of the bucket of a strike, cleared or not. */
    static int bucket(StrikeEntry entry) {
        return Math.floorMod(Hashes.of(entry.key()), BUCKETS);
    }

    /** Returns the hash of a strike, which tells one that is cleared from one that is not. */
    static long hash(StrikeEntry entry) {
        return Hashes.of(entry.key() + (entry.cleared() ? "-" : "+"));
    }

    /** Adds a strike. */
    void add(StrikeEntry entry) {
        mSums[bucket(entry)] += hash(entry);
    }

    /** Removes a strike that was added. */
    void remove(StrikeEntry entry) {
        mSums[bucket(entry)] -= hash(entry);
    }

    /** Returns the digest of all strikes. */
    long total() {
        long total = 0;
        for (long sum : mSums) {
            total += sum;
        }
        return total;
    }

    /** Returns the digest of each bucket, in 32 bits. */
    List<Integer> buckets() {
        List<Integer> buckets = new ArrayList<>();
        for (long sum : mSums) {
            buckets.add(Long.hashCode(sum));
        }
        return buckets;
    }
}
