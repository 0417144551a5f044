package org.azurearch.standin.load;

/** How a request ended, as its caller sees it. */
public enum LoadOutcome {
    /** The whole answer to the request arrived. */
    OK,
    /** Refused with the verdict that it did not run. */
    NOT_RUN,
    /** Failed with the verdict that it may have run. */
    MAY_HAVE_RUN,
    /** An error answer without a verdict, or with the verdict that it ran. */
    FAILED,
    /** The connection could not be opened; nothing was sent. */
    NOT_CONNECTED,
    /** The connection closed before the whole answer. */
    LOST,
    /** No answer in time. */
    TIMED_OUT,
    /** A success whose content is not the answer to this request. */
    WRONG_ANSWER;

    /** Says whether a caller who must know would send the request again. */
    public boolean mayHaveRun() {
        return this == MAY_HAVE_RUN || this == LOST || this == TIMED_OUT;
    }
}
