package org.azurearch.sidecar.internal.backend;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.TimeUnit;
import org.azurearch.internal.call.RequestFingerprint;
import org.azurearch.sidecar.Dialect;
import org.azurearch.sidecar.SidecarEvent;
import org.azurearch.sidecar.call.HopCall;
import org.azurearch.sidecar.internal.CallLog;
import org.azurearch.sidecar.member.Heartbeat;

/**
 * Counters and log lines of the attempts at the backend server behind this node. Confined to one
 * event loop.
 */
final class AttemptLog {
    /** Time beyond its deadline from which on an attempt is logged. */
    private static final long LONG_OVERDUE_MILLIS = 500;

    private final CallLog mLog;
    private final Dialect mDialect;
    private final Counter mSent;
    private final Counter mOverdue;
    private final Counter mConnectionsLost;

    AttemptLog(CallLog log, Dialect dialect, MetricRegistry metrics) {
        mLog = log;
        mDialect = dialect;
        mSent = metrics.counter("backend.sent");
        mOverdue = metrics.counter("backend.overdue");
        mConnectionsLost = metrics.counter("backend.connections-lost");
    }

    /** Records that an attempt was sent. */
    void sent() {
        mSent.inc();
    }

    /**
     * Records the end of an attempt that was sent.
     *
     * @param responded whether the backend server sent an answer or closed the connection
     */
    void returned(HopCall call, boolean responded) {
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - call.deadlineNanos());
        if (millis > 0) {
            mOverdue.inc();
        }
        if (millis >= LONG_OVERDUE_MILLIS) {
            mLog.failure(SidecarEvent.ATTEMPT_OVERDUE, id(call), call.route(), millis, responded);
        }
    }

    /** Records that the connection was lost while the backend server ran a request. */
    void lost(HopCall call, RequestFingerprint fingerprint, Heartbeat backend, String reason) {
        mConnectionsLost.inc();
        mLog.failure(
                SidecarEvent.REQUEST_LOST,
                id(call),
                fingerprint.fingerprints().get(0),
                backend.instance(),
                reason);
    }

    /** Returns the id of a request, for log lines. */
    String id(HopCall call) {
        String id = call.header(mDialect.requestId());
        return id == null ? "-" : id;
    }
}
