package org.azurearch.internal.call;

import java.util.List;
import org.azurearch.admit.AdmissionRequest;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.member.Announcement;
import org.azurearch.route.Route;

/**
 * The {@link HopHeaders#HOP} header that the entry node sends to the destination node of a call. It
 * carries all parameters of admission, so that a call keeps the configuration with which it
 * started.
 *
 * @param callId an ID that the destination repeats in its answer
 * @param firm the firm
 * @param service the service
 * @param callClass the call class of the route
 * @param rank the rank of the call class
 * @param share the firm's weight in admission
 * @param callsPerSecond the firm's rate limit per node; 0 for no limit
 * @param queueLength the maximum number of queued calls
 * @param queueWaitMillis the longest time that the call may be queued
 * @param deadlineMillis the remaining time for the call
 * @param context the context of the calls that the backend server makes for this call
 */
record HopRequest(
        long callId,
        String firm,
        String service,
        String callClass,
        int rank,
        int share,
        int callsPerSecond,
        int queueLength,
        long queueWaitMillis,
        long deadlineMillis,
        CallContext context) {
    private static final String SEPARATOR = ";";
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Creates the request of a call on a route. */
    static HopRequest of(Route route, long callId, long deadlineMillis, CallContext context) {
        return new HopRequest(
                callId,
                route.firm().name(),
                route.service().id().name(),
                route.callClass().id().name(),
                route.callClass().priority(),
                route.limits().share(),
                route.limits().callsPerSecond(),
                route.policy().queueLength(),
                route.policy().queueWait().toMillis(),
                deadlineMillis,
                context);
    }

    /**
     * Parses the header's value.
     *
     * @throws AzurearchException with {@link ErrorCode#BAD_REQUEST} if it is malformed
     */
    static HopRequest fromString(String text) {
        List<String> fields = List.of(text.split(SEPARATOR, -1));
        try {
            int next = 0;
            return new HopRequest(
                    Long.parseLong(fields.get(next++)),
                    fields.get(next++),
                    fields.get(next++),
                    fields.get(next++),
                    Integer.parseInt(fields.get(next++)),
                    Integer.parseInt(fields.get(next++)),
                    Integer.parseInt(fields.get(next++)),
                    Integer.parseInt(fields.get(next++)),
                    Long.parseLong(fields.get(next++)),
                    Long.parseLong(fields.get(next++)),
                    CallContext.fromUnsignedText(fields.get(next)));
        } catch (NumberFormatException | IndexOutOfBoundsException e) {
            throw new AzurearchException(ErrorCode.BAD_REQUEST, "malformed hop header", e);
        }
    }

    /** Returns whether a backend server provides the service. */
    boolean servedBy(Announcement server) {
        return server.firm().name().equals(firm) && server.service().name().equals(service);
    }

    /** Returns the header's value. */
    String text() {
        return String.join(
                SEPARATOR,
                Long.toString(callId),
                firm,
                service,
                callClass,
                Integer.toString(rank),
                Integer.toString(share),
                Integer.toString(callsPerSecond),
                Integer.toString(queueLength),
                Long.toString(queueWaitMillis),
                Long.toString(deadlineMillis),
                context.unsignedText());
    }

    /**
     * Returns the request for admission; its deadline is {@code nowNanos} plus the remaining time.
     */
    AdmissionRequest admission(long nowNanos) {
        return new AdmissionRequest(
                rank,
                firm,
                share,
                callsPerSecond,
                queueLength,
                queueWaitMillis * NANOS_PER_MILLI,
                nowNanos + deadlineMillis * NANOS_PER_MILLI);
    }
}
