package org.azurearch.sidecar.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.azurearch.sidecar.rollout.NodeEvidence.Outcomes;
import org.azurearch.sidecar.rollout.NodeEvidence.RouteVersion;
import org.azurearch.sidecar.rollout.NodeEvidence.ServerOutcomes;

/**
 * Decides from outcomes whether the target version is bad: a cumulative sum test of its failures
 * and of its slow answers, for each route and over all routes, against the other version over the
 * same time. The test restarts at zero, so that a version that turns bad late is found as fast as
 * one that is bad from the start. Confined to one thread.
 *
 * <p>With a threshold of {@link #REJECT}, a version that fails 30% of its answers is found after
 * about 15 answers. One with the failure rate of the other version is rejected by mistake about
 * once in e^8, or 3,000, times per independent run of answers.
 */
public final class VersionJudge {
    /** Log-likelihood ratio at which the version is rejected. */
    static final double REJECT = 8;

    /** Failure rate that is granted to any version. */
    private static final double MIN_FAILURE_RATE = 0.01;

    /** Excess over the granted rate that the test looks for; bad versions fail more. */
    private static final double FAILURE_EXCESS = 0.18;

    /** Fraction of slow answers that is granted: servers differ in speed, and some are busy. */
    private static final double MIN_SLOW_RATE = 0.08;

    /** Excess of slow answers that the test looks for, as a fraction of the rest. */
    private static final double SLOW_EXCESS = 0.65;

    /** Multiple of the other version's rate that is granted, as that rate is an estimate. */
    private static final double TOLERANCE = 2;

    /**
     * Bad outcomes that the other servers would have at the rate of the worst one, from which on
     * their absence shows that one server alone is bad: by chance it occurs in 0.7% of cases.
     */
    private static final double MIN_EXPECTED = 5;

    /** Fraction of those that the other servers have if the version is bad. */
    private static final double SPREAD_FRACTION = 0.3;

    /** Recent bad outcomes at one server that are enough if the others get no requests. */
    private static final double MIN_BAD_ALONE = 8;

    /** Time for which outcomes at a server count as recent. */
    private static final double RECENT_MILLIS = 2_000;

    /** Outcomes of a server that count as recent however old they are, for services with few. */
    private static final double MIN_RECENT = 40;

    /**
     * Bad outcomes at which the version is blamed even if a single server has them; below the 50th,
     * from which the time to the rollback is counted.
     */
    private static final int MAX_BAD_AT_ONE_SERVER = 40;

    /** Keeps the alternative below 1 if the other version fails most requests too. */
    private static final double MAX_GRANTED_RATE = 0.75;

    /** Fraction of the rejecting sum at which no more than the budget is spent. */
    private static final double LIKELY_BAD = 0.75;

    /** Log-likelihood ratio over all outcomes of a route from which on the version is doubtful. */
    private static final double DOUBT_IN_TOTAL = 1;

    /** Bad outcomes below which a route gives no doubt, as any server fails once. */
    private static final long MIN_BAD_IN_TOTAL = 2;

    /**
     * Evidence against the version.
     *
     * @param kind what is bad: failures, or slow answers
     * @param route the name of the route, or "*" for all routes
     * @param sum the log-likelihood ratio; {@link #REJECT} rejects
     * @param outcomes the outcomes since the sum was zero
     * @param bad the bad ones of these
     * @param baseRate the rate of bad outcomes of the other version; 0 for all routes
     * @param baseAgeMillis how long ago the other version answered; negative if it never did
     */
    record Evidence(
            String kind,
            String route,
            double sum,
            long outcomes,
            long bad,
            double baseRate,
            long baseAgeMillis) {}

    /** A sum of log-likelihood ratios that never falls below zero, and what made it. */
    private record SequentialSum(double value, long outcomes, long bad) {
        private static final SequentialSum ZERO = new SequentialSum(0, 0, 0);

        private SequentialSum plus(double change, long more, long moreBad) {
            double sum = value + change;
            return sum <= 0 ? ZERO : new SequentialSum(sum, outcomes + more, bad + moreBad);
        }
    }

    /** All outcomes of one route: their log-likelihood ratio and the number of bad ones. */
    private record Total(double ratio, long bad) {
        private Total plus(Total other) {
            return new Total(ratio + other.ratio, bad + other.bad);
        }

        private boolean doubtful() {
            return bad >= MIN_BAD_IN_TOTAL && ratio >= DOUBT_IN_TOTAL;
        }
    }

    /** The name of the sums over all routes. */
    private static final String ALL_ROUTES = "*";

    private final Map<RouteVersion, Outcomes> mSeen = new HashMap<>();
    private final Map<String, RecentRate> mBaseFailures = new HashMap<>();
    private final Map<String, RecentRate> mBaseSlow = new HashMap<>();

    /** When the other version answered last, by route. */
    private final Map<String, Long> mBaseMillis = new HashMap<>();

    private final Map<String, ServerOutcomes> mSeenServers = new HashMap<>();
    private final Map<String, double[]> mRecentServers = new HashMap<>();
    private final Map<String, SequentialSum> mFailureSums = new HashMap<>();
    private final Map<String, SequentialSum> mSlowSums = new HashMap<>();
    private final Map<String, Total> mFailureTotals = new HashMap<>();
    private final Map<String, Total> mSlowTotals = new HashMap<>();
    private boolean mRejected;
    private long mUpdatedMillis;

    /**
     * Adds what has happened since the last call.
     *
     * @param nowMillis the time, on the steady clock
     * @param outcomes the cumulative outcomes
     * @param servers the cumulative outcomes by server of the target version
     * @param serverCount the number of servers that the target version gets requests at
     * @return whether the version is bad
     */
    public boolean update(
            long nowMillis,
            Map<RouteVersion, Outcomes> outcomes,
            Map<String, ServerOutcomes> servers,
            int serverCount) {
        long millis = Math.max(0, nowMillis - mUpdatedMillis);
        mUpdatedMillis = nowMillis;
        outcomes.forEach((key, now) -> addBase(key, now, millis));
        outcomes.forEach(this::addTarget);
        addServers(servers, millis);
        if (suspicion() >= REJECT) {
            judgeServers(servers, serverCount);
        }
        return mRejected;
    }

    /** Returns how far the test is towards rejection; {@link #REJECT} rejects. */
    public double suspicion() {
        return strongest().sum();
    }

    /** Returns the strongest evidence against the version. */
    Evidence strongest() {
        Evidence failures = strongest("failures", mFailureSums, mBaseFailures);
        Evidence slow = strongest("slow", mSlowSums, mBaseSlow);
        return failures.sum() >= slow.sum() ? failures : slow;
    }

    private Evidence strongest(
            String kind, Map<String, SequentialSum> sums, Map<String, RecentRate> base) {
        Evidence strongest = new Evidence(kind, ALL_ROUTES, 0, 0, 0, 0, -1);
        for (Map.Entry<String, SequentialSum> entry : sums.entrySet()) {
            SequentialSum sum = entry.getValue();
            if (sum.value() > strongest.sum()) {
                String route = entry.getKey();
                RecentRate rate = base.get(route);
                Long compared = mBaseMillis.get(route);
                strongest =
                        new Evidence(
                                kind,
                                route,
                                sum.value(),
                                sum.outcomes(),
                                sum.bad(),
                                rate == null ? 0 : rate.rate(0),
                                compared == null ? -1 : mUpdatedMillis - compared);
            }
        }
        return strongest;
    }

    /** Returns the number of servers with recent bad outcomes, and of all with outcomes. */
    String badServers() {
        long bad = mRecentServers.values().stream().filter(recent -> recent[1] >= 1).count();
        return bad + "/" + mRecentServers.size();
    }

    /** Returns whether the version is more likely bad than good, though not yet rejected. */
    public boolean likelyBad() {
        return suspicion() >= LIKELY_BAD * REJECT;
    }

    /** Returns whether there is a reason not to raise the share. */
    public boolean doubtful() {
        return suspicion() >= REJECT / 2 || doubtfulInTotal();
    }

    /**
     * Returns whether all outcomes of a route together make a bad version more likely than a good
     * one, as on a route with few requests, whose sum returns to zero between its bad outcomes.
     */
    public boolean doubtfulInTotal() {
        return mFailureTotals.values().stream().anyMatch(Total::doubtful)
                || mSlowTotals.values().stream().anyMatch(Total::doubtful);
    }

    private void addBase(RouteVersion key, Outcomes now, long millis) {
        if (key.target()) {
            return;
        }
        Outcomes before = mSeen.getOrDefault(key, Outcomes.NONE);
        mSeen.put(key, now);
        if (now.answered() > before.answered()) {
            mBaseMillis.put(key.route(), mUpdatedMillis);
            mBaseMillis.put(ALL_ROUTES, mUpdatedMillis);
        }
        rate(mBaseFailures, key.route())
                .add(now.failed() - before.failed(), now.answered() - before.answered(), millis);
        rate(mBaseSlow, key.route())
                .add(now.slow() - before.slow(), now.timed() - before.timed(), millis);
    }

    private void addTarget(RouteVersion key, Outcomes now) {
        if (!key.target()) {
            return;
        }
        Outcomes before = mSeen.getOrDefault(key, Outcomes.NONE);
        mSeen.put(key, now);
        double failures = granted(rate(mBaseFailures, key.route()), MIN_FAILURE_RATE);
        add(
                mFailureSums,
                mFailureTotals,
                key.route(),
                now.answered() - before.answered(),
                now.failed() - before.failed(),
                failures,
                failures + FAILURE_EXCESS);
        double slow = granted(rate(mBaseSlow, key.route()), MIN_SLOW_RATE);
        add(
                mSlowSums,
                mSlowTotals,
                key.route(),
                now.timed() - before.timed(),
                now.slow() - before.slow(),
                slow,
                slow + SLOW_EXCESS * (1 - slow));
    }

    private static RecentRate rate(Map<String, RecentRate> rates, String route) {
        return rates.computeIfAbsent(route, name -> new RecentRate());
    }

    private static void add(
            Map<String, SequentialSum> sums,
            Map<String, Total> totals,
            String route,
            long outcomes,
            long bad,
            double granted,
            double alternative) {
        double change =
                bad * Math.log(alternative / granted)
                        + (outcomes - bad) * Math.log((1 - alternative) / (1 - granted));
        totals.merge(route, new Total(change, bad), Total::plus);
        for (String name : List.of(route, ALL_ROUTES)) {
            sums.merge(
                    name,
                    SequentialSum.ZERO.plus(change, outcomes, bad),
                    (sum, first) -> sum.plus(change, outcomes, bad));
        }
    }

    private static double granted(RecentRate base, double minimum) {
        double rate = TOLERANCE * base.rate(minimum / TOLERANCE);
        return Math.min(MAX_GRANTED_RATE, Math.max(minimum, rate));
    }

    private void addServers(Map<String, ServerOutcomes> servers, long millis) {
        double aged = Math.exp(-millis / RECENT_MILLIS);
        servers.forEach(
                (server, now) -> {
                    ServerOutcomes before =
                            mSeenServers.getOrDefault(server, new ServerOutcomes(0, 0));
                    double[] recent = mRecentServers.computeIfAbsent(server, name -> new double[2]);
                    double factor = recent[0] > MIN_RECENT ? aged : 1;
                    recent[0] =
                            recent[0] * factor + Math.max(0, now.answered() - before.answered());
                    recent[1] = recent[1] * factor + Math.max(0, now.bad() - before.bad());
                    mSeenServers.put(server, now);
                });
    }

    /**
     * Blames the version unless a single server is bad among several. That is a fault of the
     * server, which the choice of servers avoids; the test of the version starts again.
     */
    private void judgeServers(Map<String, ServerOutcomes> servers, int serverCount) {
        double answered = 0;
        double bad = 0;
        double[] worst = {0, 0};
        for (double[] recent : mRecentServers.values()) {
            answered += recent[0];
            bad += recent[1];
            worst = recent[1] > worst[1] ? recent : worst;
        }
        double others = answered - worst[0];
        double badOfOthers = bad - worst[1];
        long allBad = 0;
        for (ServerOutcomes server : servers.values()) {
            allBad += server.bad();
        }
        double expected = others * worst[1] / Math.max(1, worst[0]);
        boolean known = expected >= MIN_EXPECTED;
        boolean spread = badOfOthers >= 1 && badOfOthers > SPREAD_FRACTION * expected;
        boolean alone = !known && worst[1] >= MIN_BAD_ALONE;
        if (serverCount <= 1 || spread || alone || allBad >= MAX_BAD_AT_ONE_SERVER) {
            mRejected = true;
        } else if (known) {
            mFailureSums.clear();
            mSlowSums.clear();
            mFailureTotals.clear();
            mSlowTotals.clear();
        }
    }
}
