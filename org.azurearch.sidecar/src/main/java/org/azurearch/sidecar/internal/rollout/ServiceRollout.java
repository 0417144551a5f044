package org.azurearch.sidecar.internal.rollout;

import java.util.Map;
import java.util.SplittableRandom;
import org.azurearch.events.EventLog;
import org.azurearch.sidecar.SidecarEvent;
import org.azurearch.sidecar.member.NodeTable;
import org.azurearch.sidecar.rollout.EvidenceCounter;
import org.azurearch.sidecar.rollout.EvidenceSum;
import org.azurearch.sidecar.rollout.ExposureBudget;
import org.azurearch.sidecar.rollout.NodeEvidence;
import org.azurearch.sidecar.rollout.RolloutCoordinator;
import org.azurearch.sidecar.rollout.RolloutOrder;
import org.azurearch.sidecar.rollout.RolloutState;
import org.azurearch.sidecar.rollout.Verdict;
import org.azurearch.sidecar.rollout.VersionRouter;
import org.jspecify.annotations.Nullable;

/** What this node knows of the versions and the roll-out of one service; see the design note. */
final class ServiceRollout {
    /**
     * Age of the last report of a coordinator above which this node sends nothing to the target
     * version. It covers a change of the coordinator, and is well below the time to a rollback.
     */
    static final long LEASE_MILLIS = 2_500;

    /** Time after a decision in which its status is written or checked. */
    private static final long DECIDED_MILLIS = 2_000;

    private final String mService;
    private final String mNode;
    private final long mIncarnation;
    private final NodeTable mTable;
    private final ExposureBudget mBudget;
    private final VersionRouter mRouter;
    private final Leadership mLeadership;
    private long mMembersDigest;
    private boolean mRouterCurrent;
    private @Nullable RolloutOrder mOrder;
    private long mOrderSeenMillis;
    private @Nullable RolloutState mState;
    private long mStateMillis;
    private long mLeaseMillis;
    private long mReportedOrderId = -1;
    private long mOrderedMillis;
    private boolean mStopped;
    private EvidenceCounter mCounter;
    private EvidenceSum mEvidence = new EvidenceSum();
    private RolloutCoordinator mCoordinator;

    ServiceRollout(
            String service,
            String node,
            long incarnation,
            NodeTable table,
            ExposureBudget budget,
            SplittableRandom random,
            long nowMillis) {
        mService = service;
        mNode = node;
        mIncarnation = incarnation;
        mTable = table;
        mBudget = budget;
        mRouter = new VersionRouter(service, random);
        mLeadership = new Leadership(node, nowMillis);
        mCounter = new EvidenceCounter(node, incarnation);
        mCoordinator = new RolloutCoordinator(budget);
        mLeaseMillis = nowMillis - LEASE_MILLIS - 1;
    }

    String service() {
        return mService;
    }

    Leadership leadership() {
        return mLeadership;
    }

    EvidenceCounter counter() {
        return mCounter;
    }

    @Nullable RolloutOrder order() {
        return mOrder;
    }

    /** Stores an order if it is newer than the known one; returns whether it is. */
    boolean order(RolloutOrder order, long nowMillis) {
        RolloutOrder known = mOrder;
        if (known != null && order.id() <= known.id()) {
            return false;
        }
        if (known == null && order.isWithdrawn() && mState == null) {
            return false;
        }
        mOrder = order;
        mOrderSeenMillis = nowMillis;
        mLeadership.paused(nowMillis);
        RolloutState state = mState;
        if (state == null || state.verdict().isFinal()) {
            restartEvidence();
        }
        EventLog.log(
                SidecarEvent.ROLLOUT_ORDERED,
                mService,
                order.targetVersion(),
                order.durationMillis(),
                order.id());
        return true;
    }

    private void restartEvidence() {
        mCounter = new EvidenceCounter(mNode, mIncarnation);
        mEvidence = new EvidenceSum();
        mCoordinator = new RolloutCoordinator(mBudget);
        mStopped = false;
    }

    /** Returns whether a roll-out is to be begun or is under way. */
    boolean active() {
        RolloutOrder order = mOrder;
        RolloutState state = mState;
        if (state != null && !state.verdict().isFinal()) {
            return true;
        }
        return order != null
                && !order.isWithdrawn()
                && (state == null || order.id() > state.orderId());
    }

    /** Returns whether the roll-out was decided a short time ago. */
    boolean recentlyDecided(long nowMillis) {
        RolloutState state = mState;
        return state != null
                && state.verdict().isFinal()
                && nowMillis - mStateMillis < DECIDED_MILLIS;
    }

    /** Returns the id of the order that evidence is collected for. */
    long orderId() {
        RolloutOrder order = mOrder;
        RolloutState state = mState;
        if (state != null && !state.verdict().isFinal()) {
            return state.orderId();
        }
        return order == null ? -1 : order.id();
    }

    /** Returns the state with the time that has passed since the order, or null. */
    @Nullable RolloutState state(long nowMillis) {
        RolloutState state = mState;
        return state == null || state.verdict().isFinal()
                ? state
                : state.at(
                        state.elapsedMillis() + Math.max(0, nowMillis - mStateMillis),
                        state.slowMillis());
    }

    /** Returns the time since the order was first seen here. */
    long orderAge(long nowMillis) {
        return nowMillis - mOrderSeenMillis;
    }

    /** Merges a state; returns whether it replaces the known one. */
    boolean merge(RolloutState state, long nowMillis) {
        RolloutState known = state(nowMillis);
        if (known == null || state.supersedes(known)) {
            boolean begins = known == null || known.orderId() != state.orderId();
            RolloutOrder order = mOrder;
            if (begins && (order == null || order.id() != state.orderId())) {
                restartEvidence();
            }
            long knownElapsed = begins || known == null ? 0 : known.elapsedMillis();
            install(
                    state.at(Math.max(state.elapsedMillis(), knownElapsed), state.slowMillis()),
                    nowMillis);
            return true;
        }
        if (state.sameAs(known)) {
            mState =
                    known.at(
                            Math.max(known.elapsedMillis(), state.elapsedMillis()),
                            state.slowMillis());
            mStateMillis = nowMillis;
        }
        return false;
    }

    private void install(RolloutState state, long nowMillis) {
        mState = state;
        mStateMillis = nowMillis;
        mRouterCurrent = false;
        EventLog.log(
                SidecarEvent.ROLLOUT_STATE,
                mService,
                state.targetVersion(),
                state.verdict(),
                state.step(),
                state.share(),
                state.elapsedMillis());
    }

    /**
     * Merges the state that a coordinator reported. The report counts from when it was sent.
     *
     * @param canDecide whether the coordinator reaches the store
     * @return whether the state replaces the known one
     */
    boolean reported(RolloutState state, String coordinator, boolean canDecide, long nowMillis) {
        boolean changed = merge(state, nowMillis);
        RolloutState known = mState;
        if (known != null && state.orderId() == known.orderId()) {
            long sentMillis = sentMillis(state, nowMillis);
            renewLease(sentMillis);
            if (canDecide) {
                mLeadership.heard(coordinator, sentMillis, nowMillis);
            }
        }
        return changed;
    }

    /**
     * Returns when a reported state was sent, at the latest: the time since the order goes on at
     * the coordinators, so that the earliest report counts for all. A coordinator whose clock stood
     * still learns that time from its successor. The known state may be from the store, whose time
     * is that of another node's clock.
     */
    private long sentMillis(RolloutState state, long nowMillis) {
        if (state.verdict().isFinal()) {
            return nowMillis;
        }
        long orderedMillis = nowMillis - state.elapsedMillis();
        if (mReportedOrderId != state.orderId() || orderedMillis < mOrderedMillis) {
            mReportedOrderId = state.orderId();
            mOrderedMillis = orderedMillis;
        }
        return mOrderedMillis + state.elapsedMillis();
    }

    /** Records that a coordinator sent a report. */
    void renewLease(long sentMillis) {
        mLeaseMillis = Math.max(mLeaseMillis, sentMillis);
    }

    /** Adds what a node observed of the present roll-out. */
    void merge(long orderId, NodeEvidence evidence) {
        if (orderId == orderId()) {
            mEvidence.merge(evidence);
        }
    }

    /** Counts what has run for too long, and stops here on bad evidence. */
    void tick(long nowMillis) {
        RolloutState state = mState;
        mCounter.tick(nowMillis, state == null ? Map.of() : state.slowMillis());
        mEvidence.merge(mCounter.snapshot());
        if (state != null && state.running() && !mStopped) {
            int servers = servers().targetServers();
            if (mCoordinator.observe(nowMillis, mEvidence, servers)) {
                mStopped = true;
                EventLog.log(
                        SidecarEvent.ROLLOUT_STOPPED_HERE,
                        mService,
                        state.targetVersion(),
                        mCounter.badOutcomes(),
                        mEvidence.exposed());
                logHalted(state);
            }
        }
    }

    /** Returns the next state by the evidence that this node has; null without a state. */
    @Nullable RolloutState next(long nowMillis) {
        RolloutState state = state(nowMillis);
        if (state == null || (state.verdict().isFinal() && active())) {
            RolloutOrder order = mOrder;
            return order == null || !active()
                    ? null
                    : RolloutCoordinator.begin(order, state, servers(), orderAge(nowMillis));
        }
        RolloutState next = mCoordinator.next(state, mOrder, mEvidence, servers(), nowMillis);
        if (state.running() && next.verdict() == Verdict.HALTED) {
            logHalted(state);
        }
        return next.at(next.elapsedMillis(), mCoordinator.slowMillis());
    }

    private void logHalted(RolloutState state) {
        EventLog.log(
                SidecarEvent.ROLLOUT_HALTED,
                mService,
                state.targetVersion(),
                state.step(),
                state.share(),
                mCoordinator.haltCause());
    }

    private RolloutCoordinator.Servers servers() {
        updateRouter();
        RolloutState state = mState;
        RolloutOrder order = mOrder;
        String target = state != null && !state.verdict().isFinal() ? state.targetVersion() : "";
        if (target.isEmpty() && order != null) {
            target = order.targetVersion();
        }
        return mRouter.servers(target);
    }

    /** Returns which versions get requests; null if all servers do. */
    VersionRouter.@Nullable Permit permit() {
        updateRouter();
        return mRouter.permit();
    }

    /** Chooses the versions of the next request. */
    CallVersions choose(VersionRouter.Permit permit, String route, long nowMillis) {
        boolean held = mStopped || nowMillis - mLeaseMillis > LEASE_MILLIS;
        return new CallVersions(permit, !held && mRouter.nextIsTarget(permit, route));
    }

    /** Returns whether a version was rolled back. */
    boolean rejects(String version) {
        RolloutState state = mState;
        return state != null && state.rejected().contains(version);
    }

    /** Returns whether a version is the target of the present roll-out. */
    boolean isTarget(String version) {
        RolloutState state = mState;
        RolloutOrder order = mOrder;
        return state != null && !state.verdict().isFinal()
                ? version.equals(state.targetVersion())
                : order != null && version.equals(order.targetVersion());
    }

    private void updateRouter() {
        if (!mRouterCurrent || mMembersDigest != mTable.digest()) {
            mRouterCurrent = true;
            mMembersDigest = mTable.digest();
            mRouter.update(mTable.records(), mState);
        }
    }
}
