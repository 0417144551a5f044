package org.azurearch.sidecar.call;

/** A sending that is under way. */
public interface Attempt {
    /** Stops the work; the sink hears nothing more. */
    void cancel();

    /** Takes the outcome of a sending: exactly one call, unless it is cancelled. */
    interface Listener {
        /** The backend server answered. */
        void answered(BackendAnswer answer);

        /** There is no answer. */
        void failed(AttemptFailure failure);
    }
}
