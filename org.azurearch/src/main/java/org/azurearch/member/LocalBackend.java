package org.azurearch.member;

import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** The backend server that this node stands in front of. */
public interface LocalBackend {
    /**
     * Takes an announcement or its renewal.
     *
     * @throws org.azurearch.errors.AzurearchException with {@code OUT_OF_RANGE} when a value is
     *     outside its range
     */
    void announce(Announcement announcement);

    /** Ends the announcement: the backend server has left. */
    void withdraw();

    /** Marks the backend server as leaving, by an operator's wish or the node's own stop. */
    void drain();

    /** Returns the last announcement, or null when there is none in force. */
    @Nullable Announcement announcement();

    /** Returns the state, which combines announcement, lease, drain and probes. */
    BackendState state();

    /**
     * Adds a listener for changes of state.
     *
     * @param listener must be quick
     */
    void listen(Consumer<BackendState> listener);

    /**
     * Reports the outcome of a probe or of a call, which counts as one.
     *
     * @param healthy whether the backend server answered as a healthy one does
     */
    void reportCallOutcome(boolean healthy);
}
