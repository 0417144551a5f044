package org.azurearch.member;

import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** The backend server beside this node. */
public interface LocalBackend {
    /**
     * Registers the backend server or renews its registration.
     *
     * @throws org.azurearch.errors.AzurearchException with {@code OUT_OF_RANGE} when a value is
     *     outside its range
     */
    void announce(Announcement announcement);

    /** Removes the announcement of a backend server that has left. */
    void withdraw();

    /** Starts draining, at an operator's request or because the node itself stops. */
    void drain();

    /** Returns the current announcement, or null if there is none. */
    @Nullable Announcement announcement();

    /** Returns the state, derived from announcement, lease, drain, probes and calls. */
    BackendState state();

    /**
     * Adds a listener for changes of state, and for another backend server in the place of one.
     *
     * @param listener must return quickly
     */
    void addListener(Consumer<BackendState> listener);

    /**
     * Reports the outcome of a call, which affects the state as probes do.
     *
     * @param healthy whether the backend server responded as a healthy one does
     */
    void reportCallOutcome(boolean healthy);
}
