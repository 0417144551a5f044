package org.azurearch.sidecar.route;

import org.azurearch.lib.TokenBucket;

/**
 * Limits how often this node retries requests for a service at another backend server. All nodes
 * share one limit: a fraction of the requests plus a reserve in each window. This node may use the
 * fraction of its own requests and its share of the reserve. Confined to one thread.
 */
public final class SharedRetryBudget {
    /**
     * Fraction of the shared limit that nodes use. The rest is left for the nested calls of retried
     * requests, which count as retries too and which no node can distinguish from other calls.
     */
    private static final double USED_FRACTION = 0.5;

    /**
     * Fraction of its share of the reserve that a node holds at first. With all of it, restarts of
     * all nodes within a window would exceed the shared limit.
     */
    private static final double INITIAL_FRACTION = 0.5;

    private final double mPerRequest;
    private final double mReserve;
    private final TokenBucket mTokens = new TokenBucket(1);
    private boolean mBegun;

    /**
     * Creates a budget that holds one retry.
     *
     * @param ratio retries allowed for each request, summed over all nodes
     * @param reserve additional retries allowed in each window, summed over all nodes
     */
    public SharedRetryBudget(double ratio, double reserve) {
        mPerRequest = ratio * USED_FRACTION;
        mReserve = reserve * USED_FRACTION;
    }

    /**
     * Adds the retries that a request allows.
     *
     * @param nodes the number of nodes that share the reserve; 0 while they are not known
     * @param windows the time since the last request, in windows
     */
    public void onRequest(int nodes, double windows) {
        double share = nodes == 0 ? 0 : mReserve / nodes;
        if (!mBegun && nodes > 0) {
            mBegun = true;
            mTokens.add(Math.max(0, share * INITIAL_FRACTION - 1), Math.max(1, share));
        }
        mTokens.add(mPerRequest + share * windows, Math.max(1, share));
    }

    /** Takes one retry from the budget; returns false if it holds none. */
    public boolean tryTake() {
        return mTokens.tryTake();
    }
}
