package org.azurearch.sidecar.internal.suspect;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.azurearch.call.SuspectTable;
import org.azurearch.call.SuspectTable.Strike;
import org.azurearch.internal.call.RequestFingerprint;
import org.jspecify.annotations.Nullable;

/**
 * The strikes that this node and its peers have recorded, and which requests they contain. Strikes
 * are only added, cleared and expired, so that nodes agree in whichever order they merge them.
 * Times are those of a steady clock, as the times of day of nodes differ. Confined to one thread.
 */
public final class SuspectRegistry {
    /** How long a strike counts after the crash, also if it was cleared. */
    public static final Duration LIFETIME = Duration.ofMinutes(10);

    /** How long groups are contained, and requests that others share the fingerprint of. */
    private static final Duration SHARED_LIFETIME = Duration.ofMinutes(1);

    /** The same for requests in flight at the same two crashes, most of which are ordinary. */
    private static final Duration UNDECIDED_LIFETIME = Duration.ofSeconds(2);

    /** Limit of the strikes held; beyond it, the oldest are dropped. */
    private static final int MAX_STRIKES = 4_096;

    private final Map<String, StrikeEntry> mEntries = new LinkedHashMap<>();
    private final StrikeDigests mDigests = new StrikeDigests();

    /** The table of the strikes; null if they have changed since it was built. */
    private @Nullable SuspectTable mTable = SuspectTable.EMPTY;

    /** Returns whether no request is suspect, so that none needs a fingerprint. */
    public boolean isEmpty() {
        return table().isEmpty();
    }

    /** Returns whether a suspect has this digest of method and path. */
    public boolean suspectTarget(String targetDigest) {
        return table().suspectTarget(targetDigest);
    }

    /** Returns at how many crashes a request was in flight that it has not completed since. */
    public int crashes(RequestFingerprint request) {
        return request.fingerprints().stream().mapToInt(table()::crashes).max().orElse(0);
    }

    /** Returns whether a request was in flight at a crash and has not completed since. */
    public boolean suspect(RequestFingerprint request) {
        return crashes(request) > 0;
    }

    /**
     * Returns how long a request remains contained, in milliseconds; 0 if it is not. It is not
     * contained with its group if it was in flight at no crash itself.
     *
     * @param nowMillis the time, on the steady clock
     */
    public long containedMillis(RequestFingerprint request, long nowMillis) {
        boolean suspect = suspect(request);
        long longest = 0;
        for (String fingerprint : request.fingerprints()) {
            if (SuspectTable.group(fingerprint) && !suspect) {
                continue;
            }
            longest = Math.max(longest, table().expiresAtMillis(fingerprint) - nowMillis);
        }
        return longest;
    }

    /**
     * Returns the fingerprint for which a request that is not contained is on probation, or null if
     * it is not: its own containment has ended, or its group is contained.
     *
     * @param nowMillis the time, on the steady clock
     */
    public @Nullable String probation(RequestFingerprint request, long nowMillis) {
        return request.fingerprints().stream()
                .filter(
                        fingerprint ->
                                table().onProbation(fingerprint, nowMillis)
                                        || table().contained(fingerprint, nowMillis))
                .findFirst()
                .orElse(null);
    }

    /**
     * Records a request that was in flight at a crash.
     *
     * @param crash identifies the crash
     * @param cleared those of its fingerprints for which the crash does not count
     * @param nowMillis the time, on the steady clock
     * @return the new strikes
     */
    public List<StrikeEntry> strike(
            RequestFingerprint request, String crash, Set<String> cleared, long nowMillis) {
        List<StrikeEntry> strikes = new ArrayList<>();
        for (String fingerprint : request.fingerprints()) {
            strikes.add(
                    new StrikeEntry(
                            new Strike(
                                    fingerprint,
                                    request.targetDigest(),
                                    request.summary(),
                                    crash,
                                    nowMillis),
                            cleared.contains(fingerprint)));
        }
        return merge(strikes, nowMillis);
    }

    /** Clears a request that has completed; returns the strikes that no longer count. */
    public List<StrikeEntry> completed(RequestFingerprint request, long nowMillis) {
        return clear(request.fingerprints(), nowMillis);
    }

    /** Clears fingerprints; returns the strikes that no longer count. */
    public List<StrikeEntry> clear(Collection<String> fingerprints, long nowMillis) {
        List<StrikeEntry> cleared = new ArrayList<>();
        for (StrikeEntry entry : mEntries.values()) {
            if (!entry.cleared() && fingerprints.contains(entry.strike().fingerprint())) {
                cleared.add(entry.asCleared());
            }
        }
        return merge(cleared, nowMillis);
    }

    /**
     * Adds strikes, and clears those that are cleared elsewhere.
     *
     * @return the strikes that changed
     */
    public List<StrikeEntry> merge(Collection<StrikeEntry> entries, long nowMillis) {
        List<StrikeEntry> changed = new ArrayList<>();
        for (StrikeEntry entry : entries) {
            StrikeEntry known = mEntries.get(entry.key());
            boolean isNew = known == null && !expired(entry, nowMillis);
            boolean isCleared = known != null && entry.cleared() && !known.cleared();
            if (isNew || isCleared) {
                if (known != null) {
                    mDigests.remove(known);
                }
                mEntries.put(entry.key(), entry);
                mDigests.add(entry);
                changed.add(entry);
            }
        }
        if (!changed.isEmpty()) {
            trim(nowMillis);
        }
        return changed;
    }

    /** Removes the strikes that have expired. */
    public void expire(long nowMillis) {
        if (mEntries.values().stream().anyMatch(entry -> expired(entry, nowMillis))) {
            trim(nowMillis);
        }
    }

    /** Returns all strikes, including those that were cleared. */
    public List<StrikeEntry> entries() {
        return List.copyOf(mEntries.values());
    }

    /** Returns the strikes of the contained requests and groups. */
    public List<StrikeEntry> containedEntries(long nowMillis) {
        return mEntries.values().stream()
                .filter(entry -> table().contained(entry.strike().fingerprint(), nowMillis))
                .toList();
    }

    /** Returns the strikes of all requests to the paths of which one is contained. */
    public List<StrikeEntry> entriesBesideContained(long nowMillis) {
        Set<String> targets = new HashSet<>();
        containedEntries(nowMillis).forEach(entry -> targets.add(entry.strike().targetDigest()));
        return mEntries.values().stream()
                .filter(entry -> targets.contains(entry.strike().targetDigest()))
                .toList();
    }

    /** Returns the fingerprints of the contained groups. */
    public Set<String> containedGroups(long nowMillis) {
        Set<String> groups = new HashSet<>();
        for (StrikeEntry entry : mEntries.values()) {
            String fingerprint = entry.strike().fingerprint();
            if (SuspectTable.group(fingerprint) && table().contained(fingerprint, nowMillis)) {
                groups.add(fingerprint);
            }
        }
        return groups;
    }

    /** Returns the number of fingerprints that are contained. */
    public int containedCount(long nowMillis) {
        return table().contained(nowMillis).size();
    }

    /** Returns a digest of all strikes; registries with the same strikes have equal digests. */
    public long digest() {
        return mDigests.total();
    }

    /** Returns a digest of the strikes of each bucket. */
    List<Integer> bucketDigests() {
        return mDigests.buckets();
    }

    /** Returns the strikes of some buckets, the newest first. */
    List<StrikeEntry> entriesIn(Set<Integer> buckets) {
        return mEntries.values().stream()
                .filter(entry -> buckets.contains(StrikeDigests.bucket(entry)))
                .sorted(Comparator.comparingLong((StrikeEntry entry) -> -entry.strike().atMillis()))
                .toList();
    }

    /** Removes strikes that have expired or exceed the limit. */
    private void trim(long nowMillis) {
        mEntries.values()
                .removeIf(
                        entry -> {
                            boolean expired = expired(entry, nowMillis);
                            if (expired) {
                                mDigests.remove(entry);
                            }
                            return expired;
                        });
        while (mEntries.size() > MAX_STRIKES) {
            mDigests.remove(mEntries.remove(mEntries.keySet().iterator().next()));
        }
        mTable = null;
    }

    /** Returns the table, which is built when it is needed; several changes may come before. */
    private SuspectTable table() {
        SuspectTable table = mTable;
        if (table == null) {
            table = build();
            mTable = table;
        }
        return table;
    }

    private SuspectTable build() {
        List<Strike> counting =
                mEntries.values().stream()
                        .filter(entry -> !entry.cleared())
                        .map(StrikeEntry::strike)
                        .toList();
        return counting.isEmpty()
                ? SuspectTable.EMPTY
                : SuspectTable.of(
                        counting,
                        Map.of(),
                        new SuspectTable.Lifetimes(
                                LIFETIME.toMillis(),
                                SHARED_LIFETIME.toMillis(),
                                UNDECIDED_LIFETIME.toMillis()));
    }

    private static boolean expired(StrikeEntry entry, long nowMillis) {
        return nowMillis - entry.strike().atMillis() >= LIFETIME.toMillis();
    }
}
