package org.azurearch.sidecar.internal.call;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.azurearch.sidecar.config.RouteRule;
import org.jspecify.annotations.Nullable;

/** The attempts of a call: how many there were, and which are under way. */
final class CallAttempts {
    /**
     * Limit of the attempts of a call, including those that a node refuses, which cost only a round
     * trip.
     */
    private static final int MAX_ATTEMPTS = 4;

    private final Set<String> mTriedNodes = new HashSet<>();
    private final List<EndpointAttempt> mOpen = new ArrayList<>();
    private @Nullable EndpointAttempt mLast;
    private int mCount;
    private int mBackendCount;
    private boolean mWithdrawn;

    /** Adds and sends an attempt. */
    void send(EndpointAttempt attempt) {
        mCount++;
        mTriedNodes.add(attempt.node());
        mOpen.add(attempt);
        mLast = attempt;
        mBackendCount++;
        attempt.send();
    }

    /** Removes an attempt that ends; returns false if it had ended before. */
    boolean remove(EndpointAttempt attempt) {
        return mOpen.remove(attempt);
    }

    /** Does not count an attempt as one at a backend server, as it has not reached it. */
    void notReached() {
        mBackendCount--;
    }

    /** Allows no further attempt, and fails those whose request is not at a backend server. */
    void withdraw() {
        if (!mWithdrawn) {
            mWithdrawn = true;
            open().forEach(EndpointAttempt::withdraw);
        }
    }

    /** Returns the number of attempts. */
    int count() {
        return mCount;
    }

    /** Returns whether the limit of all attempts allows a further one. */
    boolean mayAdd() {
        return !mWithdrawn && mCount < MAX_ATTEMPTS;
    }

    /** Returns whether fewer attempts than a limit have reached a backend server. */
    boolean backendsBelow(int limit) {
        return !mWithdrawn && mBackendCount < limit;
    }

    /**
     * Returns whether the request may be sent again to a backend server already tried, if there is
     * no other. It may have lost the answer or reset an idle connection, so that a new connection
     * may succeed.
     */
    boolean mayReuseNode(RouteRule route) {
        return route.idempotent() && mayAdd() && backendsBelow(route.maxAttempts());
    }

    /** Returns the names of the nodes that the request was sent to. */
    Set<String> triedNodes() {
        return mTriedNodes;
    }

    /** Returns whether attempts are under way, all of them at silent nodes. */
    boolean allSilent() {
        return !mOpen.isEmpty() && mOpen.stream().allMatch(EndpointAttempt::silent);
    }

    /** Returns whether no attempt is under way. */
    boolean noneOpen() {
        return mOpen.isEmpty();
    }

    /** Returns a copy of the list of attempts that are under way. */
    List<EndpointAttempt> open() {
        return List.copyOf(mOpen);
    }

    /** Returns the attempt that is under way; null if there is none or more than one. */
    @Nullable EndpointAttempt onlyOpen() {
        return mOpen.size() == 1 ? mOpen.get(0) : null;
    }

    /** Returns the node of the last attempt for the log. */
    String lastNode() {
        return mLast == null ? "-" : mLast.node();
    }
}
