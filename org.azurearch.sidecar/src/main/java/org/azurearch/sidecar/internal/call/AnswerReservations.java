package org.azurearch.sidecar.internal.call;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.azurearch.sidecar.admit.AnswerMemory;
import org.azurearch.sidecar.config.RouteRule;

/**
 * Reserves memory and the link of this VM for the answers to callers, by the expected size of an
 * answer of each route. Confined to one event loop.
 */
final class AnswerReservations {
    /** Weight of a new answer in the moving average of a route's answer size. */
    private static final double ANSWER_SIZE_WEIGHT = 0.05;

    /** Answer size assumed before a route's first answer. */
    private static final double INITIAL_ANSWER_BYTES = 2_048;

    /** Retry delay while callers read too slowly; a large answer takes about as long. */
    private static final long SLOW_CALLERS_RETRY_MILLIS = 500;

    private static final String UNREAD_ANSWERS = "answers that callers have not read fill memory";

    /** Age up to which a measurement of the held answers is used; answers since then are added. */
    private static final long HELD_BYTES_LIFETIME_NANOS = 10_000_000L;

    private final AnswerMemory mMemory;
    private final EntryLink mLink;
    private final Map<String, Double> mBytesByRoute = new HashMap<>();
    private LongSupplier mHeldAnswerBytes = () -> 0;
    private long mHeldBytes;
    private long mHeldMeasuredNanos;

    AnswerReservations(long maxBytes, EntryLink link) {
        mMemory = new AnswerMemory(maxBytes);
        mLink = link;
    }

    /** Sets how the size of the answers that callers have not read yet is measured, in bytes. */
    void measureHeld(LongSupplier heldBytes) {
        mHeldAnswerBytes = heldBytes;
    }

    /** Returns the expected size of an answer of a route, in bytes. */
    double expectedBytes(String route) {
        return mBytesByRoute.getOrDefault(route, INITIAL_ANSWER_BYTES);
    }

    /**
     * Reserves memory and room on the link of this VM for an answer.
     *
     * @param startedNanos when its call began
     * @param deadlineNanos when its caller stops waiting
     */
    AnswerReservation reserve(RouteRule route, long startedNanos, long deadlineNanos) {
        double bytes = expectedBytes(route.name());
        if (!mMemory.tryReserve(bytes, heldBytes())) {
            return AnswerReservation.refused(SLOW_CALLERS_RETRY_MILLIS, UNREAD_ANSWERS);
        }
        AnswerReservation reservation = mLink.reserve(route, bytes, startedNanos, deadlineNanos);
        if (reservation.refusal() != null) {
            mMemory.release(bytes);
        }
        return reservation;
    }

    /** Returns whether there is memory for a second answer to a request of a route. */
    boolean hasRoom(String route) {
        return mMemory.hasRoom(expectedBytes(route), heldBytes());
    }

    /** Ends the reservation for an answer. */
    void release(AnswerReservation reservation) {
        mMemory.release(reservation.bytes());
        mLink.release(reservation);
    }

    /** Records the size of an answer that is sent to its caller. */
    void answered(String route, int bytes) {
        mHeldBytes += bytes;
        mBytesByRoute.merge(
                route, (double) bytes, (old, now) -> old + ANSWER_SIZE_WEIGHT * (now - old));
    }

    private long heldBytes() {
        long now = System.nanoTime();
        if (now - mHeldMeasuredNanos > HELD_BYTES_LIFETIME_NANOS) {
            mHeldMeasuredNanos = now;
            mHeldBytes = mHeldAnswerBytes.getAsLong();
        }
        return mHeldBytes;
    }
}
