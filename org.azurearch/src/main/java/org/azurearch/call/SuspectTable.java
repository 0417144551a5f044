package org.azurearch.call;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.azurearch.call.CrashContainment.ContainedRequest;

/**
 * Decides which requests are contained, from the crashes they were in flight at and from what has
 * cleared them; immutable.
 *
 * <p>A request is contained from its second crash on. One that completes is cleared of earlier
 * crashes, so that ordinary requests, which complete all the time, are hardly ever contained. Where
 * several requests were in flight at the same crashes, none can be told to be the cause, and all
 * are contained for a short time only.
 */
public final class SuspectTable {
    /** The table without any suspect. */
    public static final SuspectTable EMPTY =
            new SuspectTable(List.of(), Map.of(), new Lifetimes(0, 0));

    /** Comes between a fingerprint and what tells its variants apart. */
    public static final String VARIANT_SEPARATOR = ".";

    private static final int CRASHES_TO_CONTAIN = 2;

    /**
     * A request that was in flight at a crash.
     *
     * @param fingerprint the request
     * @param target identifies its method and target
     * @param summary method and target for a person, shortened
     * @param crash the crash
     * @param atMillis when, in milliseconds since the epoch
     */
    public record Strike(
            String fingerprint, String target, String summary, String crash, long atMillis) {}

    /**
     * How long a request is contained after its last crash.
     *
     * @param soleMillis where no other request was in flight at the same crashes
     * @param sharedMillis where others were
     */
    public record Lifetimes(long soleMillis, long sharedMillis) {}

    private final Map<String, List<Strike>> mStrikes = new TreeMap<>();
    private final Set<String> mSuspectTargets = new HashSet<>();
    private final Lifetimes mLifetimes;

    private SuspectTable(
            List<Strike> strikes, Map<String, Long> clearedAtMillis, Lifetimes lifetimes) {
        mLifetimes = lifetimes;
        for (Strike strike : strikes) {
            if (strike.atMillis() > clearedAtMillis.getOrDefault(strike.fingerprint(), -1L)) {
                mStrikes.computeIfAbsent(strike.fingerprint(), f -> new ArrayList<>()).add(strike);
                mSuspectTargets.add(strike.target());
            }
        }
    }

    /**
     * Makes a table.
     *
     * @param strikes the strikes, each once
     * @param clearedAtMillis when requests were last cleared
     * @param lifetimes how long requests are contained
     */
    public static SuspectTable of(
            List<Strike> strikes, Map<String, Long> clearedAtMillis, Lifetimes lifetimes) {
        return new SuspectTable(strikes, clearedAtMillis, lifetimes);
    }

    /** Says whether a request with this method and target may be suspect. */
    public boolean suspectTarget(String target) {
        return !mSuspectTargets.isEmpty() && mSuspectTargets.contains(target);
    }

    /** Says whether there is no suspect at all. */
    public boolean isEmpty() {
        return mStrikes.isEmpty();
    }

    /** Says whether a request was in flight at a crash and has not been cleared. */
    public boolean suspect(String fingerprint) {
        return mStrikes.containsKey(fingerprint);
    }

    /** Returns the suspects that are the same request, its variants by header included. */
    public List<String> variants(String fingerprint) {
        return mStrikes.keySet().stream()
                .filter(other -> withoutVariant(other).equals(withoutVariant(fingerprint)))
                .toList();
    }

    /** Says whether a request is contained. */
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

    /** Returns when the containment of a request ends; 0 when it is not contained. */
    private long expiresAtMillis(String fingerprint) {
        List<Strike> strikes = mStrikes.getOrDefault(fingerprint, List.of());
        Map<String, Long> crashes = crashTimes(strikes);
        if (crashes.size() < CRASHES_TO_CONTAIN) {
            return 0;
        }
        long last = crashes.values().stream().mapToLong(Long::longValue).max().orElse(0);
        boolean shared =
                mStrikes.entrySet().stream()
                        .filter(
                                other ->
                                        !withoutVariant(other.getKey())
                                                .equals(withoutVariant(fingerprint)))
                        .anyMatch(other -> includesAll(crashes, crashTimes(other.getValue())));
        return last + (shared ? mLifetimes.sharedMillis() : mLifetimes.soleMillis());
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
