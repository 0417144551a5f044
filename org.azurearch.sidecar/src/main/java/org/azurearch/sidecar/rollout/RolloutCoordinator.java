package org.azurearch.sidecar.rollout;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.azurearch.sidecar.rollout.NodeEvidence.RouteVersion;
import org.jspecify.annotations.Nullable;

/**
 * Decides the next state of the roll-out of one service from its order, the evidence of all nodes
 * and the time. Pure: the caller saves and distributes the state.
 *
 * <p>The plan: a first look at a share that spends part of the exposure budget early, a smaller
 * share until the middle of the duration to see versions that turn bad late, then short steps to
 * all requests, and the wait for the requests that still run at the old servers.
 */
public final class RolloutCoordinator {
    /** Waiting for servers of the version and for answers to compare with. */
    static final int OBSERVE = 0;

    /** The first look at the version. */
    static final int EXPLORE = 1;

    /** The smaller share until the steps to all requests begin. */
    static final int HOLD = 2;

    /** The first step to all requests. */
    public static final int FIRST_RAMP = 3;

    /** All requests, while those at the old servers end. */
    static final int DRAIN = 5;

    private static final double[] RAMP_SHARES = {0.25, 0.5, 1};

    /** Time of the observation before the first share, so that slow answers are known. */
    private static final long OBSERVE_MILLIS = 500;

    /** Answers of the other version that are awaited for that, and the longest wait. */
    private static final long OBSERVE_ANSWERS = 20;

    private static final long MAX_OBSERVE_MILLIS = 1_500;

    /** Largest share of the first look, for services with few requests. */
    private static final double MAX_EXPLORE_SHARE = 0.25;

    /** Length of the first look as a fraction of the duration. */
    private static final double EXPLORE_FRACTION = 0.15;

    /** Smallest share after the first look, as a fraction of the share before. */
    private static final double HOLD_FACTOR = 0.4;

    /** Part of the remaining time after which the steps to all requests begin. */
    private static final double RAMP_START = 0.5;

    /** Fraction of the duration at which a version without bad evidence is completed. */
    private static final double LATEST_COMPLETION = 0.85;

    /** The same for a version whose servers came late. */
    private static final double LAST_COMPLETION = 0.93;

    /** Shortest time of a step: reports of the previous one take up to 400 ms to arrive. */
    private static final long MIN_STEP_MILLIS = 500;

    /** Longest time of a step; the exposure budget allows no more. */
    private static final long MAX_STEP_MILLIS = 900;

    /** Shortest time between the last step and the completion, in which all nodes follow. */
    private static final long MIN_DRAIN_MILLIS = 900;

    /** Time of all requests that the shortest steps to all of them expose. */
    private static final double RAMP_MILLIS =
            (RAMP_SHARES[0] + RAMP_SHARES[1]) * MIN_STEP_MILLIS + MIN_DRAIN_MILLIS;

    /** Wait for more servers before the last step, as a fraction of the duration. */
    private static final double SPARE_WAIT_FRACTION = 0.08;

    /** Slots of the new servers that are enough, as a fraction of those of the old ones. */
    private static final double ENOUGH_SLOTS = 0.7;

    /** Part of the budget at which a version that is likely bad is stopped. */
    private static final double SPENT_FRACTION = 0.7;

    /** Time in which requests are sent that the evidence does not have when a decision arrives. */
    private static final long REPORT_LAG_MILLIS = 400;

    /** Smallest threshold of a slow answer; differences below it mean nothing to callers. */
    private static final int MIN_SLOW_MILLIS = 20;

    /** An answer is slow above these multiples of the other version's quantiles. */
    private static final double SLOW_TAIL_FACTOR = 2;

    private static final double SLOW_MEDIAN_FACTOR = 3.5;
    private static final double TAIL_QUANTILE = 0.9;
    private static final double MEDIAN_QUANTILE = 0.5;

    /** Answers at which a threshold is computed. */
    private static final int MIN_LATENCIES = 5;

    /** Answers below which one long answer alone may be the tail, which is limited then. */
    private static final int TAIL_LATENCIES = 30;

    /** Largest tail that so few answers are believed to have, as a multiple of their median. */
    private static final double MAX_TAIL_FACTOR = 2;

    /** The cause of a halt if the evidence alone decides. */
    private static final String BAD = "bad";

    /** Servers of a service by version, as the members report them. */
    public record Servers(
            String established,
            Set<String> versions,
            int targetServers,
            int targetSlots,
            int baseSlots) {}

    private final ExposureBudget mBudget;
    private final VersionJudge mJudge = new VersionJudge();
    private final Map<String, Integer> mSlowMillis = new HashMap<>();
    private long mStepSinceMillis;
    private long mServersSinceElapsed = -1;
    private @Nullable RolloutState mLast;
    private String mHaltCause = BAD;

    /**
     * Creates a coordinator of one roll-out.
     *
     * @param budget the exposure that a bad version may get
     */
    public RolloutCoordinator(ExposureBudget budget) {
        mBudget = budget;
    }

    /** Returns the state with which an order begins, or null if nothing is known yet. */
    public static @Nullable RolloutState begin(
            RolloutOrder order, @Nullable RolloutState earlier, Servers servers, long elapsed) {
        String base = earlier == null ? servers.established() : earlier.mainVersion();
        boolean baseGone = !servers.versions().contains(base);
        if (order.isWithdrawn() || (baseGone && servers.versions().isEmpty())) {
            return null;
        }
        if (baseGone && servers.versions().size() == 1) {
            base = servers.versions().iterator().next();
        }
        Set<String> rejected = new TreeSet<>();
        if (earlier != null) {
            rejected.addAll(earlier.rejected());
        }
        rejected.remove(order.targetVersion());
        boolean runsAlready = base.equals(order.targetVersion());
        return new RolloutState(
                order.service(),
                order.id(),
                order.targetVersion(),
                base,
                runsAlready ? Verdict.COMPLETED : Verdict.RUNNING,
                OBSERVE,
                runsAlready ? 1 : 0,
                order.durationMillis(),
                elapsed,
                rejected,
                Map.of(),
                Map.of());
    }

    /** Returns the latency by route above which an answer counts as slow. */
    public Map<String, Integer> slowMillis() {
        return mSlowMillis;
    }

    /** Adds the newest evidence; returns whether the version is bad. */
    public boolean observe(long nowMillis, EvidenceSum evidence, int targetServers) {
        var outcomes = evidence.outcomes();
        outcomes.forEach(
                (key, value) -> {
                    if (!key.target() && value.answered() >= MIN_LATENCIES) {
                        updateThreshold(key, value);
                    }
                });
        return mJudge.update(nowMillis, outcomes, evidence.servers(), targetServers);
    }

    private void updateThreshold(RouteVersion key, NodeEvidence.Outcomes base) {
        double tail = LatencyBuckets.quantile(base.latencies(), TAIL_QUANTILE);
        double median = LatencyBuckets.quantile(base.latencies(), MEDIAN_QUANTILE);
        if (base.answered() < TAIL_LATENCIES) {
            tail = Math.min(tail, MAX_TAIL_FACTOR * median);
        }
        double slow = Math.max(SLOW_TAIL_FACTOR * tail, SLOW_MEDIAN_FACTOR * median);
        mSlowMillis.put(key.route(), (int) Math.max(MIN_SLOW_MILLIS, slow));
    }

    /** Returns why the version was halted, as fields of a log line. */
    public String haltCause() {
        VersionJudge.Evidence evidence = mJudge.strongest();
        return String.format(
                Locale.ROOT,
                "%s evidence=%s route=%s sum=%.1f outcomes=%d bad=%d base_rate=%.3f base_age_ms=%d"
                        + " bad_servers=%s",
                mHaltCause,
                evidence.kind(),
                evidence.route(),
                evidence.sum(),
                evidence.outcomes(),
                evidence.bad(),
                evidence.baseRate(),
                evidence.baseAgeMillis(),
                mJudge.badServers());
    }

    /**
     * Returns the next state of a running roll-out, or the same one.
     *
     * @param state the state, with the time since the order at present
     * @param order the newest order of the service
     * @param evidence the evidence of all nodes
     * @param servers the servers of the service
     * @param nowMillis the time, on the steady clock
     */
    public RolloutState next(
            RolloutState state,
            @Nullable RolloutOrder order,
            EvidenceSum evidence,
            Servers servers,
            long nowMillis) {
        boolean bad = observe(nowMillis, evidence, servers.targetServers());
        RolloutState last = mLast;
        if (last == null || !last.sameAs(state)) {
            mLast = state;
            mStepSinceMillis = nowMillis;
        }
        if (state.verdict() == Verdict.HALTED) {
            return state.withVerdict(Verdict.ROLLED_BACK);
        }
        if (!state.running()) {
            return state;
        }
        String cause = haltCause(state, order, evidence, bad);
        if (cause != null) {
            mHaltCause = cause;
            return state.withVerdict(Verdict.HALTED);
        }
        long elapsed = state.elapsedMillis();
        if (servers.targetServers() > 0 && mServersSinceElapsed < 0) {
            mServersSinceElapsed = elapsed;
        }
        return advance(state, evidence, servers, nowMillis);
    }

    /** Returns why a running roll-out ends without success now, or null if it goes on. */
    private @Nullable String haltCause(
            RolloutState state, @Nullable RolloutOrder order, EvidenceSum evidence, boolean bad) {
        if (bad) {
            return BAD;
        }
        if (replaced(state, order)) {
            return "order";
        }
        if (overspends(state, evidence)) {
            return "budget";
        }
        return state.elapsedMillis() >= state.durationMillis() ? "time" : null;
    }

    /**
     * Returns whether the version would get more requests than a bad one may, given the evidence
     * against it. A version without such evidence gets them, as it could not be completed else.
     */
    private boolean overspends(RolloutState state, EvidenceSum evidence) {
        long elapsed = state.elapsedMillis();
        double total = mBudget.total(evidence.requests(), elapsed, state.durationMillis());
        double perMillis = evidence.requests() / (double) Math.max(1, elapsed);
        double unreported = state.share() * perMillis * REPORT_LAG_MILLIS;
        boolean likely = mJudge.likelyBad() && evidence.exposed() >= SPENT_FRACTION * total;
        return likely || (mJudge.doubtfulInTotal() && evidence.exposed() + unreported >= total);
    }

    /** Returns whether the order was withdrawn or another version was ordered. */
    private static boolean replaced(RolloutState state, @Nullable RolloutOrder order) {
        return order != null
                && order.id() > state.orderId()
                && !order.targetVersion().equals(state.targetVersion());
    }

    private RolloutState advance(
            RolloutState state, EvidenceSum evidence, Servers servers, long nowMillis) {
        long elapsed = state.elapsedMillis();
        long stepAge = nowMillis - mStepSinceMillis;
        long duration = state.durationMillis();
        return switch (state.step()) {
            case OBSERVE ->
                    observed(state, evidence) && mServersSinceElapsed >= 0
                            ? step(state, EXPLORE, exploreShare(state, evidence), evidence)
                            : state;
            case EXPLORE -> {
                boolean over = stepAge >= EXPLORE_FRACTION * duration || rampDue(state);
                yield over ? step(state, HOLD, holdShare(state, evidence), evidence) : state;
            }
            case HOLD -> rampDue(state) && !mJudge.doubtful() ? ramp(state, evidence) : state;
            case DRAIN ->
                    drained(state, evidence, elapsed, stepAge)
                            ? state.withVerdict(Verdict.COMPLETED)
                            : state;
            default -> stepDone(state, servers, stepAge) ? ramp(state, evidence) : state;
        };
    }

    private static RolloutState ramp(RolloutState state, EvidenceSum evidence) {
        int step = state.step() + 1;
        double share = Math.max(state.share(), RAMP_SHARES[step - FIRST_RAMP]);
        return step(state, step, share, evidence);
    }

    private static RolloutState step(
            RolloutState state, int step, double share, EvidenceSum evidence) {
        Map<String, Long> requests = new HashMap<>();
        evidence.outcomes()
                .forEach((key, value) -> requests.merge(key.route(), value.answered(), Long::sum));
        return state.withStep(step, share, RouteShares.spread(share, requests));
    }

    private boolean observed(RolloutState state, EvidenceSum evidence) {
        long answers = 0;
        for (var entry : evidence.outcomes().entrySet()) {
            answers += entry.getKey().target() ? 0 : entry.getValue().answered();
        }
        long elapsed = state.elapsedMillis();
        return elapsed >= MAX_OBSERVE_MILLIS
                || (elapsed >= OBSERVE_MILLIS && answers >= OBSERVE_ANSWERS);
    }

    /** Spreads the budget evenly over the duration; the later steps need most of it. */
    private double exploreShare(RolloutState state, EvidenceSum evidence) {
        long elapsed = state.elapsedMillis();
        long duration = state.durationMillis();
        double total = mBudget.total(evidence.requests(), elapsed, duration);
        double expected = evidence.requests() * (double) duration / Math.max(1, elapsed);
        return Math.min(MAX_EXPLORE_SHARE, total / Math.max(1, expected));
    }

    /**
     * Spreads what the steps to all requests leave of the budget. Services with few requests need
     * it for evidence; those with many spend it in the steps.
     */
    private double holdShare(RolloutState state, EvidenceSum evidence) {
        long elapsed = state.elapsedMillis();
        double total = mBudget.total(evidence.requests(), elapsed, state.durationMillis());
        double perMillis = evidence.requests() / (double) Math.max(1, elapsed);
        double left = total - evidence.exposed() - perMillis * RAMP_MILLIS;
        double millis = Math.max(MIN_STEP_MILLIS, RAMP_START * state.durationMillis() - elapsed);
        double share = left / Math.max(1, perMillis * millis);
        return Math.max(HOLD_FACTOR * state.share(), Math.min(state.share(), share));
    }

    private boolean rampDue(RolloutState state) {
        double end = LAST_COMPLETION * state.durationMillis();
        long since = Math.max(0, mServersSinceElapsed);
        return state.elapsedMillis() >= since + RAMP_START * (end - since);
    }

    /** A step lasts as long as a slow answer takes to be noticed, within bounds. */
    private boolean stepDone(RolloutState state, Servers servers, long stepAge) {
        long slowest = 0;
        for (int millis : mSlowMillis.values()) {
            slowest = Math.max(slowest, millis);
        }
        long wanted = Math.max(MIN_STEP_MILLIS, Math.min(MAX_STEP_MILLIS, slowest));
        boolean last = state.step() == DRAIN - 1;
        boolean spare = servers.targetSlots() >= ENOUGH_SLOTS * servers.baseSlots();
        if (last && !spare) {
            wanted += (long) (SPARE_WAIT_FRACTION * state.durationMillis());
        }
        boolean late = state.elapsedMillis() >= LATEST_COMPLETION * state.durationMillis();
        return (stepAge >= wanted && !mJudge.doubtful()) || (late && stepAge >= MIN_STEP_MILLIS);
    }

    private boolean drained(RolloutState state, EvidenceSum evidence, long elapsed, long stepAge) {
        if (stepAge < MIN_DRAIN_MILLIS || mJudge.doubtful()) {
            return false;
        }
        boolean late = elapsed >= LATEST_COMPLETION * state.durationMillis();
        boolean servedLong = mServersSinceElapsed < state.durationMillis() / 2;
        boolean last = elapsed >= LAST_COMPLETION * state.durationMillis();
        return evidence.basePending() == 0 || (late && servedLong) || last;
    }
}
