package org.azurearch.sidecar.internal;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.azurearch.sidecar.SidecarEvent;
import org.jspecify.annotations.Nullable;

/**
 * The open connections of a listener. Beyond a limit, the one that has not been used for the
 * longest time is closed, so that connections that are held open without requests leave descriptors
 * for others. Confined to one event loop.
 *
 * @param <C> the type of the connections
 */
public final class OpenConnections<C extends OpenConnections.Connection> {
    /** A connection of a client. */
    public interface Connection {
        /** Returns whether a request is under way, so that it must stay open. */
        boolean inUse();

        /** Returns since when no request has been under way, on the steady clock. */
        long unusedSinceNanos();

        /** Returns the address of the client, for log lines. */
        String peer();

        /** Closes the connection. */
        void close(String reason);
    }

    private static final String REASON = "too many connections";

    private final int mMax;
    private final CallLog mLog;
    private final Set<C> mOpen = new HashSet<>();

    /**
     * Creates an empty set.
     *
     * @param max the limit
     * @param log logs the connections that are closed
     */
    public OpenConnections(int max, CallLog log) {
        mMax = max;
        mLog = log;
    }

    /** Adds a connection that was opened, and closes one if there are too many. */
    public void opened(C connection) {
        mOpen.add(connection);
        if (mOpen.size() > mMax) {
            C longest = longestUnused(connection);
            C closed = longest == null ? connection : longest;
            mOpen.remove(closed);
            mLog.failure(SidecarEvent.CONNECTIONS_FULL, mMax, closed.peer());
            closed.close(REASON);
        }
    }

    /** Removes a connection that was closed. */
    public void closed(C connection) {
        mOpen.remove(connection);
    }

    /** Returns all open connections, as they are now. */
    public List<C> all() {
        return List.copyOf(mOpen);
    }

    private @Nullable C longestUnused(C opened) {
        C longest = null;
        for (C connection : mOpen) {
            boolean candidate = connection != opened && !connection.inUse();
            if (candidate
                    && (longest == null
                            || connection.unusedSinceNanos() < longest.unusedSinceNanos())) {
                longest = connection;
            }
        }
        return longest;
    }
}
