package org.azurearch.sidecar.rollout;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import org.azurearch.internal.member.Hashes;
import org.azurearch.sidecar.member.BackendRecord;
import org.azurearch.sidecar.member.NodeRecord;
import org.jspecify.annotations.Nullable;

/**
 * Which versions of one service get requests, and how many. A version that appears beside an
 * established one gets none until an order names it. Confined to one thread.
 */
public final class VersionRouter {
    /** Servers of the new version that are used at the least, so that one cannot mislead. */
    private static final int MIN_TARGET_SERVERS = 2;

    /**
     * The versions of a service that get requests.
     *
     * @param main the version that serves; null if none is permitted
     * @param target the version that is rolled out; null if it gets none
     * @param share the fraction of requests that the target gets
     * @param routeShares the same by route where it differs
     * @param targetNodes the nodes whose servers of the target version are used
     */
    public record Permit(
            @Nullable String main,
            @Nullable String target,
            double share,
            Map<String, Double> routeShares,
            Set<String> targetNodes) {
        /** Returns whether all requests go to the target version. */
        public boolean targetOnly() {
            return target != null && share >= 1;
        }
    }

    private final String mService;
    private final Map<String, Long> mFirstStart = new TreeMap<>();
    private final Map<String, Integer> mSlots = new TreeMap<>();
    private final Map<String, Set<String>> mNodes = new TreeMap<>();
    private String mEstablished = "";
    private boolean mHasEstablished;
    private @Nullable Permit mPermit;
    private final SplittableRandom mRandom;
    private final Map<String, Double> mPhases = new HashMap<>();

    /**
     * Creates a router.
     *
     * @param service the name of the service
     * @param random draws where each route begins, so that nodes do not all begin with one version
     */
    public VersionRouter(String service, SplittableRandom random) {
        mService = service;
        mRandom = random;
    }

    /** Computes the versions that get requests anew, from the members and the state. */
    public void update(Collection<NodeRecord> members, @Nullable RolloutState state) {
        mFirstStart.clear();
        mSlots.clear();
        mNodes.clear();
        for (NodeRecord member : members) {
            BackendRecord backend = member.backend();
            boolean present = backend != null && !backend.leaving() && !member.leaving();
            if (present && backend != null && backend.service().equals(mService)) {
                mFirstStart.merge(backend.version(), backend.startedMillis(), Math::min);
                if (backend.ready()) {
                    mSlots.merge(backend.version(), backend.slots(), Integer::sum);
                    mNodes.computeIfAbsent(backend.version(), name -> new TreeSet<>())
                            .add(member.node());
                }
            }
        }
        mPermit = permit(state);
    }

    private @Nullable Permit permit(@Nullable RolloutState state) {
        Set<String> permitted = new TreeSet<>(mFirstStart.keySet());
        if (state != null) {
            permitted.removeAll(state.rejected());
            if (state.verdict() != Verdict.COMPLETED) {
                permitted.remove(state.targetVersion());
            }
        }
        String main = state == null ? mEstablished : state.mainVersion();
        boolean known = state != null || mHasEstablished;
        if (!known || !permitted.contains(main)) {
            main = earliest(permitted);
        }
        if (main != null) {
            mEstablished = main;
            mHasEstablished = true;
        }
        if (state != null && state.running() && state.share() > 0) {
            String target = state.targetVersion();
            return new Permit(
                    main,
                    target,
                    state.share(),
                    state.routeShares(),
                    targetNodes(target, state.share()));
        }
        boolean single = mFirstStart.size() <= 1 && (main != null || mFirstStart.isEmpty());
        return single ? null : new Permit(main, null, 0, Map.of(), Set.of());
    }

    /** The version whose oldest server has run longest is the established one. */
    private @Nullable String earliest(Set<String> versions) {
        String earliest = null;
        long start = Long.MAX_VALUE;
        for (String version : versions) {
            long started = mFirstStart.getOrDefault(version, Long.MAX_VALUE);
            if (earliest == null || started < start) {
                earliest = version;
                start = started;
            }
        }
        return earliest;
    }

    /**
     * Returns as many nodes as the share needs, the same at all nodes, so that each of their
     * servers has the load that it would have with all requests. A version that is bad under load
     * only shows it while few requests go to it.
     */
    private Set<String> targetNodes(String target, double share) {
        Set<String> all = mNodes.getOrDefault(target, Set.of());
        int wanted = Math.max(MIN_TARGET_SERVERS, (int) Math.ceil(share * all.size()));
        if (wanted >= all.size()) {
            return Set.copyOf(all);
        }
        TreeMap<Long, String> order = new TreeMap<>();
        all.forEach(node -> order.put(Hashes.of(node), node));
        Set<String> nodes = new HashSet<>();
        for (String node : order.values()) {
            if (nodes.size() < wanted) {
                nodes.add(node);
            }
        }
        return nodes;
    }

    /** Returns which versions get requests; null if all servers do. */
    public @Nullable Permit permit() {
        return mPermit;
    }

    /** Returns whether the next request of a route goes to the target version. */
    public boolean nextIsTarget(Permit permit, String route) {
        if (permit.target() == null) {
            return false;
        }
        double begin = mPhases.computeIfAbsent(route, name -> mRandom.nextDouble());
        double phase = begin + permit.routeShares().getOrDefault(route, permit.share());
        mPhases.put(route, phase - Math.floor(phase));
        return phase >= 1;
    }

    /** Returns the servers of the service, for the decision on a version. */
    public RolloutCoordinator.Servers servers(String target) {
        int base = 0;
        for (Map.Entry<String, Integer> entry : mSlots.entrySet()) {
            base += entry.getKey().equals(target) ? 0 : entry.getValue();
        }
        return new RolloutCoordinator.Servers(
                mEstablished,
                Set.copyOf(mFirstStart.keySet()),
                mNodes.getOrDefault(target, Set.of()).size(),
                mSlots.getOrDefault(target, 0),
                base);
    }
}
