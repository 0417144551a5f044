package org.azurearch.sidecar.call;

/** An attempt of a call that is under way. */
public interface Attempt {
    /**
     * Cancels the attempt; its listener is not called any more.
     *
     * @return whether this node knows that the request has not run and never will
     */
    boolean cancel();

    /** Fails the attempt as not run, unless its request was sent to the backend server. */
    void withdraw();

    /** Receives the outcome of an attempt: it answers or fails once, unless it is cancelled. */
    interface Listener {
        /** The backend server answered. */
        void answered(BackendAnswer answer);

        /** The attempt ended without an answer. */
        void failed(AttemptFailure failure);

        /**
         * The node that the attempt was sent to is silent. It may only be late: the outcome is open
         * and follows if the node is heard again.
         */
        default void peerSilent() {}
    }
}
