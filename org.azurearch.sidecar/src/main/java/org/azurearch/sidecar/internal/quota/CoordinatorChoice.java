package org.azurearch.sidecar.internal.quota;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.azurearch.sidecar.account.QuotaPartitions;

/**
 * Chooses the coordinators of the quotas among the relays of all data centres, which every node
 * links to. Confined to one thread.
 */
public final class CoordinatorChoice {
    /**
     * Time for which another node has to come first before the coordinator changes. A node that
     * started serves as a coordinator after one lease, and every change loses the stored tokens.
     */
    private static final long CHANGE_MILLIS = 5_000;

    /** Time for which a coordinator that did not answer is not chosen again. */
    private static final long SILENT_MILLIS = 3_000;

    /**
     * A node that may coordinate.
     *
     * @param node its name
     * @param first whether it is among the first of its data centre; another one takes the place of
     *     one that has just started
     * @param ageMillis the time since its start by the clocks of two nodes, so that it decides
     *     about preference only
     */
    public record Candidate(String node, boolean first, long ageMillis) {
        /** Returns {@link CoordinatorChoice#settled} for its age. */
        public boolean settled() {
            return CoordinatorChoice.settled(ageMillis);
        }
    }

    private final Map<String, Long> mSilentUntil = new HashMap<>();
    private final String[] mOther = new String[QuotaPartitions.COUNT];
    private final long[] mOtherSinceMillis = new long[QuotaPartitions.COUNT];

    /** Creates a choice without preferences. */
    public CoordinatorChoice() {
        Arrays.fill(mOther, "");
    }

    /**
     * Returns whether the nodes that were there may have chosen a node of this age by now. Nothing
     * is known of the age of one that seems to start much later than now, as its clock is off.
     */
    public static boolean settled(long ageMillis) {
        return Math.abs(ageMillis) >= CHANGE_MILLIS;
    }

    /**
     * Returns the nodes of an order that may coordinate: the first ones, and those that come first
     * without the ones that have just started.
     *
     * @param starts the time of day at the start of each node, in the order of the nodes
     * @param count how many come first
     * @param wallMillis the time of day
     */
    public static List<Candidate> candidates(Map<String, Long> starts, int count, long wallMillis) {
        List<Candidate> candidates = new ArrayList<>();
        int index = 0;
        int settled = 0;
        for (Map.Entry<String, Long> start : starts.entrySet()) {
            boolean first = index++ < count;
            Candidate candidate =
                    new Candidate(start.getKey(), first, wallMillis - start.getValue());
            if (first || (candidate.settled() && settled < count)) {
                candidates.add(candidate);
                settled += candidate.settled() ? 1 : 0;
            }
        }
        return candidates;
    }

    /** Records that a coordinator did not answer. */
    public void silent(String node, long nowMillis) {
        mSilentUntil.put(node, nowMillis + SILENT_MILLIS);
    }

    /**
     * Returns the node that should coordinate each partition, or an empty string if there is none.
     * A partition without a coordinator gets one that has not just started, unless there are so few
     * that they would get more than twice as many partitions. All nodes change to one that has just
     * started at about the same time, also those that started after it.
     *
     * @param candidates the nodes that may coordinate
     * @param current the present coordinator of each partition, or an empty string
     * @param reachable whether a node is reachable and not leaving; a present coordinator may be so
     *     while others have taken its place among the candidates
     * @param nowMillis the time, on the steady clock
     */
    public List<String> choose(
            List<Candidate> candidates,
            List<String> current,
            Predicate<String> reachable,
            long nowMillis) {
        mSilentUntil.values().removeIf(until -> until <= nowMillis);
        List<String> first = answering(candidates, Candidate::first);
        List<String> settled = answering(candidates, Candidate::settled);
        boolean enough = 2 * settled.size() >= Math.min(QuotaPartitions.COUNT, first.size());
        List<String> assigned = assign(first);
        List<String> initial = enough ? assign(settled) : assigned;
        long changedMillis = nowMillis - newestAgeMillis(candidates);
        List<String> chosen = new ArrayList<>();
        for (int i = 0; i < QuotaPartitions.COUNT; i++) {
            if (reachable.test(current.get(i))) {
                chosen.add(keep(i, assigned.get(i), current.get(i), changedMillis, nowMillis));
            } else {
                mOther[i] = "";
                chosen.add(initial.get(i));
            }
        }
        return chosen;
    }

    private List<String> answering(List<Candidate> candidates, Predicate<Candidate> usable) {
        return candidates.stream()
                .filter(usable)
                .map(Candidate::node)
                .filter(node -> !mSilentUntil.containsKey(node))
                .toList();
    }

    private static List<String> assign(List<String> nodes) {
        return nodes.isEmpty()
                ? Collections.nCopies(QuotaPartitions.COUNT, "")
                : QuotaPartitions.assign(nodes);
    }

    /** Returns how long ago a node that has just started changed who comes first; 0 if none did. */
    private static long newestAgeMillis(List<Candidate> candidates) {
        return candidates.stream()
                .filter(candidate -> candidate.first() && !candidate.settled())
                .mapToLong(candidate -> Math.max(0, candidate.ageMillis()))
                .min()
                .orElse(0);
    }

    private String keep(
            int partition, String first, String current, long changedMillis, long nowMillis) {
        if (first.equals(current)) {
            mOther[partition] = "";
            return first;
        }
        if (!first.equals(mOther[partition])) {
            mOther[partition] = first;
            mOtherSinceMillis[partition] = changedMillis;
        }
        return nowMillis - mOtherSinceMillis[partition] < CHANGE_MILLIS ? current : first;
    }
}
