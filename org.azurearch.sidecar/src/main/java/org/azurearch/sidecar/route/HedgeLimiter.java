package org.azurearch.sidecar.route;

/**
 * Limits the hedged requests for a service: as a fraction of its requests in a window, and by the
 * same fraction of the bytes of its answers, so that one large answer counts as much as the small
 * ones that it displaces on a link.
 *
 * <p>Each node spends the fraction of its own requests, so that the limit holds for the sum over
 * any number of nodes without messages, on each side of a partition as well. A node starts without
 * credit; restarts therefore lose credit and create none. No rule of this kind holds exactly in
 * every window, since requests that arrive after a hedge cannot be counted when it is sent; see
 * {@link ExtraShare} for the windows in which it does. Confined to one thread.
 */
public final class HedgeLimiter {
    private final ExtraShare mRequests;
    private final ExtraShare mBytes;

    /**
     * Creates a limiter without credit.
     *
     * @param maxExtraFraction the limit as a fraction of the requests, summed over all nodes
     * @param windowMillis the length of the window
     */
    public HedgeLimiter(double maxExtraFraction, long windowMillis) {
        mRequests = new ExtraShare(maxExtraFraction, windowMillis);
        mBytes = new ExtraShare(maxExtraFraction, windowMillis);
    }

    /**
     * Counts a request for the service, hedged requests not included.
     *
     * @param answerBytes the expected size of its answer
     * @param nowNanos the time, on the steady clock
     */
    public void onRequest(double answerBytes, long nowNanos) {
        mRequests.count(1, nowNanos);
        mBytes.count(answerBytes, nowNanos);
    }

    /** Returns whether a hedged request with an expected size of its answer is within the limit. */
    public boolean allows(double answerBytes, long nowNanos) {
        return mRequests.allows(1, nowNanos) && mBytes.allows(answerBytes, nowNanos);
    }

    /** Counts a hedged request that is within the limit. */
    public void onHedge(double answerBytes, long nowNanos) {
        mRequests.spend(1, nowNanos);
        mBytes.spend(answerBytes, nowNanos);
    }
}
