package org.azurearch.lib;

/** Whether a backend server may have run a request. */
public enum Verdict {
    /** The request certainly did not run; sending it again is safe. */
    NOT_RUN("not-run"),
    /** The request may have run; only an idempotent request may be sent again. */
    MAY_HAVE_RUN("may-have-run"),
    /** The request ran and its answer is known. */
    RAN("ran");

    private final String mHeaderValue;

    Verdict(String headerValue) {
        mHeaderValue = headerValue;
    }

    /** Returns the value of the verdict in a response header. */
    public String headerValue() {
        return mHeaderValue;
    }

    /**
     * Returns whether a request with this verdict may be sent again.
     *
     * @param idempotent whether the request is idempotent
     */
    public boolean mayRetry(boolean idempotent) {
        return this == NOT_RUN || (this == MAY_HAVE_RUN && idempotent);
    }
}
