package org.azurearch.call;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import org.azurearch.call.CrashContainment.ContainedRequest;

/**
 * Suspect requests, and which of them are contained; immutable.
 *
 * <p>A request becomes a suspect if it is in flight at a crash of a backend server, and is
 * contained from its second crash on. A request that completes is cleared of earlier crashes, so
 * that ordinary requests, which keep completing, are hardly ever contained. If several requests
 * were in flight at the same crashes, the cause cannot be determined, and all of them are contained
 * for a moment only. Afterwards they are on probation: a further crash tells which it was.
 *
 * <p>A group is all requests to a path, or those of one caller to it. Its crashes are those of its
 * requests since one of them has completed; those that no contained request explains, or several
 * contained requests, make it undecided too.
 *
 * <p>A fingerprint without a variant stands for all requests that differ in the variant only. The
 * crashes of the variant that was in flight at most of them do not count for it if that variant is
 * contained, up to the third crash. It is contained for a short time only, as other requests may
 * share it.
 */
public final class SuspectTable {
    /** A table without suspects. */
    public static final SuspectTable EMPTY =
            new SuspectTable(List.of(), Map.of(), new Lifetimes(0, 0, 0));

    /** Separates a fingerprint from the suffix that distinguishes its variants by header. */
    public static final String VARIANT_SEPARATOR = ".";

    /** Starts the fingerprint of a group. */
    public static final String GROUP_PREFIX = "~";

    private static final int CRASHES_TO_CONTAIN = 2;

    /** Growth of the containment of undecided requests with each crash beyond the second. */
    private static final double UNDECIDED_GROWTH = 4;

    /** Factor for groups, of which several requests may be crashing ones. */
    private static final double GROUP_FACTOR = 2;

    /** Crashes from which on no variant explains those of the requests that share its rest. */
    private static final int CRASHES_OF_ALL_VARIANTS = 3;

    /**
     * A request that was in flight at a crash.
     *
     * @param fingerprint the fingerprint of the request
     * @param targetDigest digest of its method and target
     * @param summary method and target in readable form, truncated
     * @param crash the identifier of the crash
     * @param atMillis the time of the crash, in milliseconds on one clock for all strikes of a
     *     table; not negative
     */
    public record Strike(
            String fingerprint, String targetDigest, String summary, String crash, long atMillis) {}

    /**
     * How long a request is contained after its last crash.
     *
     * @param soleMillis the time if no other request was in flight at the same crashes
     * @param sharedMillis the time if other requests share the fingerprint
     * @param undecidedMillis the time if others were in flight at the same two crashes; it grows
     *     with each further crash, up to the shared time
     */
    public record Lifetimes(long soleMillis, long sharedMillis, long undecidedMillis) {}

    private final Map<String, List<Strike>> mStrikes = new TreeMap<>();
    private final Set<String> mSuspectTargets = new HashSet<>();

    /** The crashes of each fingerprint with their times. */
    private final Map<String, Map<String, Long>> mCrashes = new HashMap<>();

    /**
     * The fingerprints of each crash, so that those that share crashes are found without a scan.
     */
    private final Map<String, List<String>> mByCrash = new HashMap<>();

    /** The fingerprints with a variant, by the part before it. */
    private final Map<String, List<String>> mVariants = new HashMap<>();

    /**
     * When containments end, as far as it was asked for. A table is asked for each strike at each
     * change; hundreds of strikes took 40 ms of a small VM at each of them without it.
     */
    private final Map<String, Long> mExpires = new ConcurrentHashMap<>();

    private final Lifetimes mLifetimes;

    private SuspectTable(
            List<Strike> strikes, Map<String, Long> clearedAtMillis, Lifetimes lifetimes) {
        mLifetimes = lifetimes;
        for (Strike strike : strikes) {
            if (strike.atMillis() > clearedAtMillis.getOrDefault(strike.fingerprint(), -1L)) {
                mStrikes.computeIfAbsent(strike.fingerprint(), f -> new ArrayList<>()).add(strike);
                mSuspectTargets.add(strike.targetDigest());
            }
        }
        mStrikes.forEach(this::index);
    }

    private void index(String fingerprint, List<Strike> strikes) {
        Map<String, Long> crashes = crashTimes(strikes);
        mCrashes.put(fingerprint, crashes);
        for (String crash : crashes.keySet()) {
            mByCrash.computeIfAbsent(crash, c -> new ArrayList<>()).add(fingerprint);
        }
        if (isVariant(fingerprint)) {
            mVariants
                    .computeIfAbsent(withoutVariant(fingerprint), f -> new ArrayList<>())
                    .add(fingerprint);
        }
    }

    /**
     * Creates a table.
     *
     * @param strikes the strikes, without duplicates
     * @param clearedAtMillis when requests were last cleared, by fingerprint
     * @param lifetimes how long requests are contained
     */
    public static SuspectTable of(
            List<Strike> strikes, Map<String, Long> clearedAtMillis, Lifetimes lifetimes) {
        return new SuspectTable(strikes, clearedAtMillis, lifetimes);
    }

    /** Returns whether a suspect has this digest of method and target. */
    public boolean suspectTarget(String targetDigest) {
        return !mSuspectTargets.isEmpty() && mSuspectTargets.contains(targetDigest);
    }

    /** Returns whether there are no suspects. */
    public boolean isEmpty() {
        return mStrikes.isEmpty();
    }

    /**
     * Returns whether a request was in flight at a crash and has not been cleared since. Groups are
     * no suspects.
     */
    public boolean suspect(String fingerprint) {
        return struck(fingerprint) && !group(fingerprint);
    }

    /** Returns at how many crashes a request was in flight; none for a group. */
    public int crashes(String fingerprint) {
        return group(fingerprint) ? 0 : mCrashes.getOrDefault(fingerprint, Map.of()).size();
    }

    /** Returns whether crashes count against a request or group. */
    public boolean struck(String fingerprint) {
        return mStrikes.containsKey(fingerprint);
    }

    /** Returns whether a fingerprint is that of a group of requests. */
    public static boolean group(String fingerprint) {
        return fingerprint.startsWith(GROUP_PREFIX);
    }

    /**
     * Returns the fingerprints of all suspects that differ from the given one in their variant
     * only.
     */
    public List<String> variants(String fingerprint) {
        return mStrikes.keySet().stream()
                .filter(other -> withoutVariant(other).equals(withoutVariant(fingerprint)))
                .toList();
    }

    /** Returns whether a request is contained. */
    public boolean contained(String fingerprint, long nowMillis) {
        return expiresAtMillis(fingerprint) > nowMillis;
    }

    /** Returns the requests contained now. */
    public List<ContainedRequest> contained(long nowMillis) {
        List<ContainedRequest> contained = new ArrayList<>();
        mStrikes.forEach(
                (fingerprint, strikes) -> {
                    long expires = expiresAtMillis(fingerprint);
                    if (expires > nowMillis) {
                        contained.add(
                                new ContainedRequest(
                                        fingerprint,
                                        strikes.get(0).summary(),
                                        crashTimes(strikes).size(),
                                        expires));
                    }
                });
        return contained;
    }

    /**
     * Returns whether the containment of a request or group has ended though it has not completed
     * since its crashes, so that it must not be sent to several backend servers at the same time.
     */
    public boolean onProbation(String fingerprint, long nowMillis) {
        long expires = expiresAtMillis(fingerprint);
        return expires > 0 && expires <= nowMillis;
    }

    /** Returns when the containment of a request ends, or 0 if it has too few crashes. */
    public long expiresAtMillis(String fingerprint) {
        Map<String, Long> crashes = mCrashes.getOrDefault(fingerprint, Map.of());
        if (crashes.size() < CRASHES_TO_CONTAIN) {
            return 0; // without a look at all others, as it holds for most
        }
        Long known = mExpires.get(fingerprint);
        if (known == null) {
            known = computeExpiresAtMillis(fingerprint, new HashMap<>(crashes));
            mExpires.put(fingerprint, known);
        }
        return known;
    }

    private long computeExpiresAtMillis(String fingerprint, Map<String, Long> crashes) {
        if (group(fingerprint)) {
            return groupExpiresAtMillis(crashes);
        }
        if (crashes.size() < CRASHES_OF_ALL_VARIANTS) {
            crashes.keySet().removeAll(crashesOfContainedVariant(fingerprint));
        }
        if (crashes.size() < CRASHES_TO_CONTAIN) {
            return 0;
        }
        long last = crashes.values().stream().mapToLong(Long::longValue).max().orElse(0);
        return last + lifetimeMillis(fingerprint, crashes);
    }

    /**
     * Returns when the containment of a group ends. A request in flight at several crashes explains
     * these; others that were in flight at the same ones add nothing to it.
     */
    private long groupExpiresAtMillis(Map<String, Long> crashes) {
        List<Set<String>> explained = new ArrayList<>();
        Set<String> others = new TreeSet<>();
        crashes.keySet().forEach(crash -> others.addAll(mByCrash.getOrDefault(crash, List.of())));
        for (String other : others) {
            Map<String, Long> own = mCrashes.getOrDefault(other, Map.of());
            boolean suspect = !group(other) && !isVariant(other);
            if (suspect && own.size() >= CRASHES_TO_CONTAIN && includesAll(own, crashes)) {
                addUnlessCovered(own.keySet(), explained);
            }
        }
        Set<String> unexplained = new HashSet<>(crashes.keySet());
        explained.forEach(unexplained::removeAll);
        int causes = explained.size() + unexplained.size();
        long last = crashes.values().stream().mapToLong(Long::longValue).max().orElse(0);
        return causes < CRASHES_TO_CONTAIN ? 0 : last + undecidedMillis(causes, GROUP_FACTOR);
    }

    private static void addUnlessCovered(Set<String> crashes, List<Set<String>> explained) {
        if (explained.stream().noneMatch(other -> other.containsAll(crashes))) {
            explained.removeIf(crashes::containsAll);
            explained.add(crashes);
        }
    }

    private static boolean isVariant(String fingerprint) {
        return fingerprint.contains(VARIANT_SEPARATOR);
    }

    private long lifetimeMillis(String fingerprint, Map<String, Long> crashes) {
        if (othersInFlightAt(crashes, fingerprint)) {
            return undecidedMillis(crashes.size(), 1);
        }
        return hasVariants(fingerprint) ? mLifetimes.sharedMillis() : mLifetimes.soleMillis();
    }

    private long undecidedMillis(int crashes, double factor) {
        double growth = Math.pow(UNDECIDED_GROWTH, crashes - CRASHES_TO_CONTAIN);
        double millis = mLifetimes.undecidedMillis() * factor * growth;
        return (long) Math.min(millis, mLifetimes.sharedMillis());
    }

    /** Returns whether another request was in flight at all of the crashes. */
    private boolean othersInFlightAt(Map<String, Long> crashes, String fingerprint) {
        String same = withoutVariant(fingerprint);
        String crash = crashes.keySet().iterator().next();
        return mByCrash.getOrDefault(crash, List.of()).stream()
                .filter(other -> !group(other))
                .filter(other -> !withoutVariant(other).equals(same))
                .anyMatch(other -> includesAll(crashes, mCrashes.getOrDefault(other, Map.of())));
    }

    /** Returns the crashes of the variant with the most crashes, none if it is not contained. */
    private Set<String> crashesOfContainedVariant(String fingerprint) {
        Set<String> most = Set.of();
        for (String other : mVariants.getOrDefault(fingerprint, List.of())) {
            Set<String> crashes = mCrashes.getOrDefault(other, Map.of()).keySet();
            if (crashes.size() > most.size()) {
                most = crashes;
            }
        }
        return most.size() < CRASHES_TO_CONTAIN ? Set.of() : most;
    }

    private boolean hasVariants(String fingerprint) {
        return mVariants.containsKey(fingerprint);
    }

    private static String withoutVariant(String fingerprint) {
        int variant = fingerprint.indexOf(VARIANT_SEPARATOR);
        return variant < 0 ? fingerprint : fingerprint.substring(0, variant);
    }

    private static boolean includesAll(Map<String, Long> crashes, Map<String, Long> others) {
        return others.keySet().containsAll(crashes.keySet());
    }

    private static Map<String, Long> crashTimes(List<Strike> strikes) {
        Map<String, Long> crashes = new HashMap<>();
        strikes.forEach(strike -> crashes.put(strike.crash(), strike.atMillis()));
        return crashes;
    }
}
