package org.azurearch.sidecar.route;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Decides which backend server a request goes to: the one from which the answer is expected first,
 * where distance and failures count as time.
 *
 * <p>It answers uneven load and backend servers of uneven speed. A request leaves the data centre
 * only when the wait saved is worth more than the bytes that cross: a caller notices the first, the
 * operator pays for the second.
 */
public final class EndpointSelector {
    /**
     * Time that a request may lose in its own data centre before it leaves it, as part of its
     * target. Heads and frames make up a kilobyte even of a small request; a late answer is worth a
     * third of one in time, and a kilobyte between data centres costs up to a tenth of it.
     */
    private static final double MIN_DISTANCE_FRACTION = 0.35;

    private static final double DISTANCE_FRACTION_PER_KB = 0.08;

    /** Work takes about a third of the target, so that with this wait it is just still in time. */
    private static final double MAX_DISTANCE_FRACTION = 0.65;

    /** Part of the target that work is taken to last before anything is known. */
    private static final double INITIAL_WORK_FRACTION = 0.3;

    /** How much longer an endpoint that fails everything seems: retries take that long. */
    private static final double FAILURE_WEIGHT = 10.0;

    /** Part by which estimates are varied, so that nodes do not all choose the same endpoint. */
    private static final double JITTER = 0.1;

    /**
     * Endpoints of other data centres that are looked at for one request. The best of six chosen at
     * random is among the best sixth of them in two cases of three.
     */
    private static final int MAX_REMOTE_CANDIDATES = 6;

    private final RandomGenerator mRandom;

    /**
     * Creates a placement.
     *
     * @param random the source of variation
     */
    public EndpointSelector(RandomGenerator random) {
        mRandom = random;
    }

    /**
     * A request to be placed.
     *
     * @param service the service it is for
     * @param route the name of its route
     * @param rank the rank of its route; 0 is the most urgent
     * @param targetMillis the target of its route
     * @param answerBytes how large its answer is expected to be
     * @param tried nodes that are not asked again
     */
    public record Request(
            String service,
            String route,
            int rank,
            long targetMillis,
            double answerBytes,
            Set<String> tried) {}

    /** Returns the endpoint for a request, or null when none takes it. */
    public @Nullable EndpointState choose(
            Collection<EndpointState> endpoints, Request request, long nowNanos) {
        List<EndpointState> candidates = candidates(endpoints, request);
        EndpointState best = null;
        double bestCost = Double.MAX_VALUE;
        double defaultWork = defaultWorkMillis(candidates, request);
        double lowestFailureRate = lowestFailureRate(candidates, nowNanos);
        double distanceFraction =
                Math.min(
                        MAX_DISTANCE_FRACTION,
                        MIN_DISTANCE_FRACTION
                                + request.answerBytes() / 1024 * DISTANCE_FRACTION_PER_KB);
        for (EndpointState endpoint : candidates) {
            double cost =
                    endpoint.expectedMillis(request.route(), request.rank(), defaultWork, nowNanos);
            cost *= 1 + FAILURE_WEIGHT * (endpoint.failureRate(nowNanos) - lowestFailureRate);
            cost *= 1 + JITTER * mRandom.nextDouble();
            cost += endpoint.local() ? 0 : distanceFraction * request.targetMillis();
            if (cost < bestCost) {
                bestCost = cost;
                best = endpoint;
            }
        }
        return best;
    }

    /**
     * Returns all endpoints of the data centre that take a request, and some of the others: where
     * there are many, a few of them serve as well as all, and looking at all takes longer than the
     * rest of a call.
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
     * Returns the part of requests that fail wherever they go, as when a service that all of them
     * call is in trouble: going elsewhere is no remedy against that.
     */
    private static double lowestFailureRate(List<EndpointState> candidates, long nowNanos) {
        double lowest = 1;
        for (EndpointState endpoint : candidates) {
            lowest = Math.min(lowest, endpoint.failureRate(nowNanos));
        }
        return lowest;
    }

    /**
     * Returns the work of a request at the endpoints that are known, so that a new one is as likely
     * to be chosen as they are.
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
