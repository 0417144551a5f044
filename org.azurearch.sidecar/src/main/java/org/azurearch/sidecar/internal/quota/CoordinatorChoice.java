package org.azurearch.sidecar.internal.quota;

import java.util.ArrayList;
import java.util.Arrays;
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

    private final Map<String, Long> mSilentUntil = new HashMap<>();
    private final String[] mOther = new String[QuotaPartitions.COUNT];
    private final long[] mOtherSinceMillis = new long[QuotaPartitions.COUNT];

    /** Creates a choice without preferences. */
    public CoordinatorChoice() {
        Arrays.fill(mOther, "");
    }

    /** Records that a coordinator did not answer. */
    public void silent(String node, long nowMillis) {
        mSilentUntil.put(node, nowMillis + SILENT_MILLIS);
    }

    /**
     * Returns the node that should coordinate each partition, or an empty string if there is none.
     *
     * @param candidates the nodes that may coordinate
     * @param current the present coordinator of each partition, or an empty string
     * @param reachable whether a node is reachable and not leaving; a present coordinator may be so
     *     while others have taken its place among the candidates
     * @param nowMillis the time, on the steady clock
     */
    public List<String> choose(
            List<String> candidates,
            List<String> current,
            Predicate<String> reachable,
            long nowMillis) {
        mSilentUntil.values().removeIf(until -> until <= nowMillis);
        List<String> answering = new ArrayList<>(candidates);
        answering.removeAll(mSilentUntil.keySet());
        List<String> assigned = answering.isEmpty() ? List.of() : QuotaPartitions.assign(answering);
        List<String> chosen = new ArrayList<>();
        for (int i = 0; i < QuotaPartitions.COUNT; i++) {
            String first = assigned.isEmpty() ? "" : assigned.get(i);
            boolean serves = reachable.test(current.get(i));
            chosen.add(choose(i, first, current.get(i), serves, nowMillis));
        }
        return chosen;
    }

    private String choose(
            int partition, String first, String current, boolean currentServes, long nowMillis) {
        if (first.equals(current) || !currentServes) {
            mOther[partition] = "";
            return first;
        }
        if (!first.equals(mOther[partition])) {
            mOther[partition] = first;
            mOtherSinceMillis[partition] = nowMillis;
        }
        return nowMillis - mOtherSinceMillis[partition] < CHANGE_MILLIS ? current : first;
    }
}
