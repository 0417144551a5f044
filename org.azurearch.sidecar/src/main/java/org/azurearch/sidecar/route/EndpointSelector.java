package org.azurearch.sidecar.route;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Selects the backend server for a request: the one that is expected to answer first, with distance
 * and failures converted to time.
 *
 * <p>This balances uneven load and backend servers of different speed. A request leaves the data
 * centre only if the time that it saves the caller is worth more than the traffic between data
 * centres, which the operator pays for.
 */
public final class EndpointSelector {
    /**
     * Additional time that a request may take in its own data centre before it is sent to another
     * one, as a fraction of its target. Headers and framing make up a kilobyte even of a small
     * request. A late answer is worth a third of one in time, and a kilobyte between data centres
     * costs up to a tenth of an answer in time.
     */
    private static final double MIN_DISTANCE_FRACTION = 0.35;

    private static final double DISTANCE_FRACTION_PER_KB = 0.08;

    /**
     * Largest such fraction: work takes about a third of the target, so that a request just meets
     * it after such a wait.
     */
    private static final double MAX_DISTANCE_FRACTION = 0.65;

    /** Expected work before the first observation, as a fraction of the target. */
    private static final double INITIAL_WORK_FRACTION = 0.3;

    /**
     * Cost added to an endpoint that fails every request, as a multiple of its expected time;
     * retries take that long.
     */
    private static final double FAILURE_WEIGHT = 10.0;

    /** Fraction by which estimates vary at random, so that nodes do not all choose the same one. */
    private static final double JITTER = 0.1;

    /**
     * Differences below this fraction of the target mean nothing to the caller and are left to
     * chance. Without it, an endpoint whose first answer took some milliseconds longer got no
     * further request while the others kept up, so that its estimate was never corrected.
     */
    private static final double RESOLUTION_FRACTION = 0.02;

    /**
     * Endpoints of other data centres that are considered for one request. The best of six random
     * endpoints is among the best sixth of all in two cases of three.
     */
    private static final int MAX_REMOTE_CANDIDATES = 6;

    /**
     * Cost of the best local endpoint, as a fraction of that of an unloaded remote one, above which
     * remote ones are demanded. They are linked to ahead of the first call that goes to them.
     */
    private static final double DEMAND_FRACTION = 0.6;

    private final RandomGenerator mRandom;
    private final Consumer<String> mRemoteDemand;

    /**
     * Creates a selector.
     *
     * @param random the source of random numbers for the variation and for sampling
     * @param remoteDemand receives the services for which endpoints of other data centres are or
     *     will soon be needed
     */
    public EndpointSelector(RandomGenerator random, Consumer<String> remoteDemand) {
        mRandom = random;
        mRemoteDemand = remoteDemand;
    }

    /**
     * A request for which to select an endpoint.
     *
     * @param service the service that it is for
     * @param route the name of its route
     * @param rank the rank of its route; 0 is the most urgent
     * @param targetMillis the target of its route
     * @param answerBytes the expected size of its answer
     * @param tried nodes that were already tried, which are not chosen again
     */
    public record Request(
            String service,
            String route,
            int rank,
            long targetMillis,
            double answerBytes,
            Set<String> tried) {}

    /** Returns the cost of another data centre for an answer, as a fraction of the target. */
    static double distanceFraction(double answerBytes) {
        return Math.min(
                MAX_DISTANCE_FRACTION,
                MIN_DISTANCE_FRACTION + answerBytes / 1024 * DISTANCE_FRACTION_PER_KB);
    }

    /**
     * Returns whether an answer is so large that it costs more than placement takes into account.
     */
    static boolean distanceExpensive(double answerBytes) {
        return distanceFraction(answerBytes) >= MAX_DISTANCE_FRACTION;
    }

    /** Returns the endpoint for a request, or null if none accepts it. */
    public @Nullable EndpointState choose(
            Collection<EndpointState> endpoints, Request request, long nowNanos) {
        List<EndpointState> candidates = candidates(endpoints, request);
        EndpointState best = null;
        double bestCost = Double.MAX_VALUE;
        double bestLocalCost = Double.MAX_VALUE;
        double defaultWork = defaultWorkMillis(candidates, request);
        double lowestFailureRate = lowestFailureRate(candidates, nowNanos);
        double distanceFraction = distanceFraction(request.answerBytes());
        for (EndpointState endpoint : candidates) {
            double cost =
                    endpoint.expectedMillis(
                            request.route(),
                            request.rank(),
                            defaultWork,
                            request.answerBytes(),
                            nowNanos);
            cost *= 1 + FAILURE_WEIGHT * (endpoint.failureRate(nowNanos) - lowestFailureRate);
            cost *= 1 + JITTER * mRandom.nextDouble();
            cost += RESOLUTION_FRACTION * request.targetMillis() * mRandom.nextDouble();
            if (endpoint.local()) {
                bestLocalCost = Math.min(bestLocalCost, cost);
            } else {
                cost += distanceFraction * request.targetMillis();
            }
            if (cost < bestCost) {
                bestCost = cost;
                best = endpoint;
            }
        }
        double remoteCost = defaultWork + distanceFraction * request.targetMillis();
        if (bestLocalCost > DEMAND_FRACTION * remoteCost) {
            mRemoteDemand.accept(request.service());
        }
        return best;
    }

    /**
     * Returns all local endpoints that accept a request and a random sample of the remote ones. A
     * few of many remote endpoints serve as well as all, and evaluating all would take longer than
     * the rest of a call.
     */
    private List<EndpointState> candidates(Collection<EndpointState> endpoints, Request request) {
        List<EndpointState> candidates = new ArrayList<>();
        List<EndpointState> remote = new ArrayList<>();
        int remoteCount = 0;
        for (EndpointState endpoint : endpoints) {
            if (!endpoint.accepts(request.service()) || request.tried().contains(endpoint.node())) {
                continue;
            }
            if (endpoint.local()) {
                candidates.add(endpoint);
            } else if (remote.size() < MAX_REMOTE_CANDIDATES) {
                remote.add(endpoint);
                remoteCount++;
            } else {
                int index = mRandom.nextInt(++remoteCount);
                if (index < MAX_REMOTE_CANDIDATES) {
                    remote.set(index, endpoint);
                }
            }
        }
        candidates.addAll(remote);
        return candidates;
    }

    /**
     * Returns the fraction of requests that fail at every endpoint, for example because a service
     * that all of them call is failing. Choosing another endpoint does not avoid these failures.
     */
    private static double lowestFailureRate(List<EndpointState> candidates, long nowNanos) {
        double lowest = 1;
        for (EndpointState endpoint : candidates) {
            lowest = Math.min(lowest, endpoint.failureRate(nowNanos));
        }
        return lowest;
    }

    /**
     * Returns the mean work of a request at the endpoints where it was observed, so that a new
     * endpoint is as likely to be chosen as they are.
     */
    private static double defaultWorkMillis(List<EndpointState> candidates, Request request) {
        double sum = 0;
        int known = 0;
        for (EndpointState endpoint : candidates) {
            double work = endpoint.workMillis(request.route());
            if (work > 0) {
                sum += work;
                known++;
            }
        }
        return known == 0 ? request.targetMillis() * INITIAL_WORK_FRACTION : sum / known;
    }
}
