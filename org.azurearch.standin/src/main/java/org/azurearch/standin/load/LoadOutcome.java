package org.azurearch.standin.load;

/** The outcome of an attempt, as seen by the caller. */
public enum LoadOutcome {
    /** The complete answer to the request arrived. */
    OK,
    /** Rejected with the verdict not-run. */
    NOT_RUN,
    /** Failed with the verdict may-have-run. */
    MAY_HAVE_RUN,
    /** An error answer without a verdict, or with the verdict ran. */
    FAILED,
    /** The connection could not be opened; nothing was sent. */
    NOT_CONNECTED,
    /** The connection closed before the complete answer arrived. */
    LOST,
    /** No complete answer before the timeout. */
    TIMED_OUT,
    /** A success status with content that is not the answer to this request. */
    WRONG_ANSWER;

    /** Returns whether it is unknown if the request ran. */
    public boolean mayHaveRun() {
        return this == MAY_HAVE_RUN || this == LOST || this == TIMED_OUT;
    }
}
