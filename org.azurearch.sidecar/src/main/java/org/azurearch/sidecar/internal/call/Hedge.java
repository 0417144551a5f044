package org.azurearch.sidecar.internal.call;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import org.azurearch.sidecar.route.EndpointState;
import org.jspecify.annotations.Nullable;

/**
 * Sends an idempotent request to a second backend server if the first attempt is slow. One object
 * for each call. Confined to one event loop.
 */
interface Hedge {
    /** The call that may be hedged. */
    interface Owner {
        /** Returns the attempt that is under way; null if there is none or more than one. */
        @Nullable EndpointAttempt onlyAttempt();

        /** Returns whether the route and the key of the caller allow a further attempt. */
        boolean attemptsLeft();

        /**
         * Returns whether a backend server crashed under a request like it, or it is on trial for
         * that reason.
         */
        boolean suspect();

        /** Returns the time since the request arrived, in milliseconds. */
        long elapsedMillis();

        /** Returns the names of the nodes that the request was sent to. */
        Set<String> triedNodes();

        /** Returns the time until the deadline, in milliseconds. */
        long remainingMillis();

        /**
         * Chooses an endpoint not tried yet whose version may serve the request; returns null if
         * there is none.
         */
        @Nullable EndpointState choose(Collection<EndpointState> candidates);

        /** Logs and sends the request to a second server; returns the attempt. */
        @Nullable EndpointAttempt hedge(EndpointState second, LogLine line);
    }

    /** A line about a hedged request. */
    interface LogLine {
        /**
         * Writes the line.
         *
         * @param lines the log of the call
         * @param attempts the number of attempts before
         */
        void write(CallLines lines, int attempts);
    }

    /**
     * Called when the answer delays others.
     *
     * @param waiting the number of requests that wait for it on the connection of the caller
     */
    void delaysOthers(int waiting);

    /**
     * Called when an attempt is answered, before the answer is forwarded to the caller. Not called
     * for failures.
     */
    void answered(EndpointAttempt attempt);

    /**
     * Called when the call ends.
     *
     * @param open attempts without an answer, which are cancelled
     */
    void end(List<EndpointAttempt> open);
}
