package org.azurearch.sidecar.internal.call;

import org.azurearch.errors.ErrorCode;
import org.azurearch.events.EventLog;
import org.azurearch.lib.Verdict;
import org.azurearch.sidecar.SidecarEvent;
import org.azurearch.sidecar.config.RouteRule;
import org.azurearch.sidecar.internal.CallLog;
import org.jspecify.annotations.Nullable;

/** Writes the log lines of one call. Confined to one event loop. */
final class CallLines {
    /**
     * How a call ended without an answer of a backend server.
     *
     * @param route the name of its route, or "-"
     * @param service the service, empty if none was chosen
     * @param configVersion the version of the configuration that decided
     * @param status the HTTP status
     * @param code the error code
     * @param verdict whether the request may have run
     * @param attempts the number of attempts
     * @param millis how long the call took
     * @param retryAfterMillis when the caller was asked to come back; 0 if it was not
     * @param detail a description of the failure for people
     */
    record Failure(
            String route,
            String service,
            long configVersion,
            int status,
            ErrorCode code,
            Verdict verdict,
            int attempts,
            long millis,
            long retryAfterMillis,
            String detail) {}

    /** Values of the log field {@code next} after a failed attempt: a retry follows, or none. */
    static final String RETRY_ANOTHER = "another";

    static final String NO_RETRY = "none";

    private final CallLog mLog;
    private final String mId;

    CallLines(CallLog log, String id) {
        mLog = log;
        mId = id;
    }

    void attemptFailed(
            String node, int attempt, String code, Verdict verdict, String next, String detail) {
        mLog.failure(
                SidecarEvent.ATTEMPT_FAILED,
                mId,
                node,
                attempt,
                code,
                verdict.headerValue(),
                next,
                detail);
    }

    /** Logs that an attempt has no answer yet and that the request is also sent to another node. */
    void silent(String node, int attempt, String second) {
        attemptFailed(node, attempt, "SILENT", Verdict.MAY_HAVE_RUN, second, "no answer yet");
    }

    /** Logs that the request is hedged, with the expected times that decided. */
    void hedged(
            String route,
            String first,
            String second,
            double afterMillis,
            double remainingMillis,
            double secondMillis) {
        mLog.failure(
                SidecarEvent.HEDGED,
                mId,
                route,
                first,
                second,
                Math.round(afterMillis),
                Math.round(remainingMillis),
                Math.round(secondMillis));
    }

    void cancelled(@Nullable RouteRule route, int attempts, long millis) {
        mLog.failure(SidecarEvent.CALL_CANCELLED, mId, name(route), attempts, millis);
    }

    /** Logs a sample of the answers. */
    void answered(@Nullable RouteRule route, int status, String node, int attempts, long millis) {
        if (mLog.sampleAnswer()) {
            EventLog.log(
                    SidecarEvent.CALL_ANSWERED, mId, name(route), status, node, attempts, millis);
        }
    }

    void failed(Failure failure) {
        mLog.failure(
                SidecarEvent.CALL_FAILED,
                mId,
                failure.route(),
                failure.service(),
                failure.configVersion(),
                failure.status(),
                failure.code().code(),
                failure.verdict().headerValue(),
                failure.attempts(),
                failure.millis(),
                failure.retryAfterMillis(),
                failure.detail());
    }

    private static String name(@Nullable RouteRule route) {
        return route == null ? "-" : route.name();
    }
}
