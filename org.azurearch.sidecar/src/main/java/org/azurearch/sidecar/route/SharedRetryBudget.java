package org.azurearch.sidecar.route;

import org.azurearch.lib.TokenBucket;

/**
 * Bounds how often this node sends requests for a service to a second backend server. All nodes
 * share one bound: a part of the requests, and a reserve in each window. This node uses its own
 * requests and its share of the reserve. Confined to one thread.
 */
public final class SharedRetryBudget {
    /**
     * Part of the shared bound that is used. The rest is left for calls that repeated requests make
     * in turn, which count as repeats too and which no node can tell from others.
     */
    private static final double USED_FRACTION = 0.5;

    private final double mPerRequest;
    private final double mReserve;
    private final TokenBucket mTokens = new TokenBucket(1);

    /**
     * Creates an allowance with a full reserve.
     *
     * @param ratio repeats allowed for each request, summed over all nodes
     * @param reserve repeats allowed besides in each window, summed over all nodes
     */
    public SharedRetryBudget(double ratio, double reserve) {
        mPerRequest = ratio * USED_FRACTION;
        mReserve = reserve * USED_FRACTION;
    }

    /**
     * Counts a request.
     *
     * @param nodes the number of nodes that share the reserve
     * @param windows the part of a window that has passed since the last request
     */
    public void onRequest(int nodes, double windows) {
        double share = mReserve / Math.max(1, nodes);
        mTokens.add(mPerRequest + share * windows, Math.max(1, share));
    }

    /** Takes the right to one repeat, if there is one. */
    public boolean tryTake() {
        return mTokens.tryTake();
    }
}
