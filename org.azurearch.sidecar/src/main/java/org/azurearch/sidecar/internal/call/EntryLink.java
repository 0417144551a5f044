package org.azurearch.sidecar.internal.call;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.azurearch.sidecar.admit.LinkLoad;
import org.azurearch.sidecar.call.BackendAnswer;
import org.azurearch.sidecar.call.HopCall;
import org.azurearch.sidecar.config.RouteRule;

/**
 * The use of this VM's link by the answers to its callers. Costs nothing if the link is not
 * limited. Confined to one event loop.
 */
final class EntryLink {
    /** Weight of a new call in the moving average of a route's duration. */
    private static final double NEW_WEIGHT = 0.1;

    /** Duration assumed before a route's first answer, as a fraction of its target. */
    private static final double INITIAL_TARGET_FRACTION = 0.3;

    /** Shortest wait before a refused call is sent again: the order of the link's answer time. */
    private static final long MIN_RETRY_MILLIS = 50;

    private static final String LINK_FULL = "the link of this node cannot send the answer in time";
    private static final double NANOS_PER_MILLI = 1e6;

    private final LinkLoad mLink;
    private final Map<String, Double> mMillisByRoute = new HashMap<>();

    EntryLink(LinkLoad link) {
        mLink = link;
    }

    /**
     * Counts the answer to a call that starts, unless the link cannot send it in time.
     *
     * @param route the route of the call
     * @param bytes the memory that is reserved for the answer
     * @param startedNanos when the call began
     * @param deadlineNanos when the caller stops waiting
     */
    AnswerReservation reserve(
            RouteRule route, double bytes, long startedNanos, long deadlineNanos) {
        if (!mLink.limited()) {
            return new AnswerReservation(bytes, null, 0, null);
        }
        long now = System.nanoTime();
        long targetNanos = startedNanos + TimeUnit.MILLISECONDS.toNanos(route.targetMillis());
        double answerMillis = mLink.answerMillis(route.name());
        double workMillis =
                mMillisByRoute.getOrDefault(
                        route.name(), route.targetMillis() * INITIAL_TARGET_FRACTION);
        long readyNanos = now + (long) (workMillis * NANOS_PER_MILLI);
        LinkLoad.Answer answer =
                new LinkLoad.Answer(
                        route.rank(), answerMillis, readyNanos, targetNanos, deadlineNanos);
        if (mLink.admits(answer, now)) {
            return new AnswerReservation(bytes, mLink.await(answer, false), 0, null);
        }
        double excess = mLink.excessMillis(answer, now);
        return AnswerReservation.refused(Math.max(MIN_RETRY_MILLIS, (long) excess), LINK_FULL);
    }

    /** Ends the use of the link by a call that has ended. */
    void release(AnswerReservation reservation) {
        if (reservation.awaited() != null) {
            mLink.release(reservation.awaited());
        }
    }

    /** Adds a request that is sent to a peer. */
    void requestSent(HopCall call) {
        if (mLink.limited()) {
            int bytes = bytes(call.headers()) + call.body().length;
            mLink.sent(call.rank(), bytes, System.nanoTime());
        }
    }

    /**
     * Adds an answer that is sent to a caller.
     *
     * @param millis how long its call took
     */
    void answerSent(RouteRule route, BackendAnswer answer, long millis) {
        if (mLink.limited()) {
            mMillisByRoute.merge(
                    route.name(), (double) millis, (old, now) -> old + NEW_WEIGHT * (now - old));
            int bytes = bytes(answer.headers()) + answer.body().length;
            mLink.sent(route.name(), route.rank(), bytes, System.nanoTime());
        }
    }

    private static int bytes(List<String> headers) {
        int bytes = 0;
        for (String part : headers) {
            bytes += part.length();
        }
        return bytes;
    }
}
