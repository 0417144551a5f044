package org.azurearch.internal.call;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import java.util.Optional;
import org.azurearch.call.CallFailure;
import org.azurearch.call.CallHeaders;
import org.azurearch.call.OutcomeTable;
import org.azurearch.call.StoredOutcome;
import org.azurearch.errors.ErrorCode;
import org.azurearch.lib.Verdict;
import org.azurearch.member.Member;
import org.azurearch.route.Route;
import org.jspecify.annotations.Nullable;

/**
 * Sees to it that a non-idempotent request with a ticket or an idempotency key runs at most once.
 * Confined to the event loop of its call.
 */
final class OnceGuard implements TicketDesk.Waiter {
    /** The call that is guarded. */
    interface Owner {
        /** The request is the first one and may run. */
        void proceed();

        /** Another node decides on the request, by its ticket or, without one, by its key. */
        void forward(Member home, @Nullable String ticket);

        /** The request is a repetition; this is the outcome of the first one. */
        void replay(StoredOutcome outcome);

        /** Says whether the call has ended, so that it must not begin to run any more. */
        boolean done();

        /** The request is refused. */
        void refuse(CallFailure failure);
    }

    private final Lane mLane;
    private final Owner mOwner;
    private final HttpRequest mRequest;
    private final boolean mFromNode;
    private String mClaimKey = "";
    private @Nullable Ticket mWaitingFor;
    private @Nullable Ticket mRunning;

    /**
     * Creates a guard.
     *
     * @param fromNode whether another node has forwarded the request to this one to decide on it
     */
    OnceGuard(Lane lane, Owner owner, HttpRequest request, boolean fromNode) {
        mLane = lane;
        mOwner = owner;
        mRequest = request;
        mFromNode = fromNode;
    }

    /** Says whether a request carries a ticket or a key. */
    static boolean identified(HttpRequest request) {
        return request.headers().contains(CallHeaders.TICKET)
                || request.headers().contains(CallHeaders.IDEMPOTENCY_KEY);
    }

    /** Decides by the ticket, or claims the key first. */
    void begin(Route route, @Nullable String ticketText) {
        if (ticketText == null) {
            claim(route);
            return;
        }
        Optional<Ticket> ticket = Ticket.fromString(mLane.signer(), ticketText);
        if (ticket.isPresent()) {
            decide(ticket.get());
        } else {
            mOwner.refuse(
                    CallFailure.notRun(ErrorCode.BAD_TICKET, "the ticket was not issued here"));
        }
    }

    /** Says whether the request has been found to be the first one. */
    boolean running() {
        return mRunning != null;
    }

    /** Remembers how the request ended. */
    void ended(Verdict verdict, @Nullable StoredOutcome outcome) {
        Ticket ticket = mRunning;
        mRunning = null;
        if (mWaitingFor != null) {
            mLane.tickets().abandon(mWaitingFor, this);
            mWaitingFor = null;
        }
        if (ticket == null) {
            return;
        }
        if (verdict == Verdict.NOT_RUN) {
            mLane.tickets().release(ticket);
        } else {
            StoredOutcome kept =
                    outcome != null
                            ? outcome
                            : StoredOutcome.failed(unknown("the first sending was lost"));
            mLane.tickets().complete(ticket, kept);
        }
    }

    @Override
    public void outcome(StoredOutcome outcome) {
        mLane.run(
                () -> {
                    if (mWaitingFor != null) {
                        mWaitingFor = null;
                        mOwner.replay(outcome);
                    }
                });
    }

    @Override
    public void notRun() {
        mLane.run(
                () -> {
                    if (mWaitingFor != null) {
                        mWaitingFor = null;
                        mOwner.refuse(
                                CallFailure.notRun(
                                        ErrorCode.BUSY, "the first sending did not run"));
                    }
                });
    }

    private void claim(Route route) {
        String key = mRequest.headers().get(CallHeaders.IDEMPOTENCY_KEY, "");
        mClaimKey = ClaimKey.of(route.firm(), key);
        Member home = mFromNode ? null : mLane.claimHome(mClaimKey);
        if (home == null || mLane.isSelf(home.node())) {
            claimHere();
        } else {
            mOwner.forward(home, null);
        }
    }

    /** Claims the key on this node, also where another one would usually do it. */
    void claimHere() {
        mLane.claims()
                .claim(mClaimKey, mLane.tickets().issue().text(mLane.signer()))
                .whenComplete((winner, failure) -> mLane.run(() -> claimed(winner, failure)));
    }

    private void claimed(@Nullable String winner, @Nullable Throwable failure) {
        Optional<Ticket> ticket = Ticket.fromString(mLane.signer(), winner);
        if (failure == null && ticket.isPresent()) {
            decide(ticket.get());
            return;
        }
        mOwner.refuse(
                CallFailure.of(
                        Verdict.MAY_HAVE_RUN,
                        ErrorCode.LOG_UNAVAILABLE,
                        "the key cannot be claimed now; this sending did not run"));
    }

    private void decide(Ticket ticket) {
        if (mOwner.done()) {
            return;
        }
        if (mLane.tickets().issuedHere(ticket)) {
            decideHere(ticket);
            return;
        }
        Optional<Member> home = mLane.member(ticket.home());
        boolean elsewhere = !mFromNode && !mLane.isSelf(ticket.home());
        if (elsewhere && home.isPresent() && home.get().reachable()) {
            mOwner.forward(home.get(), ticket.text(mLane.signer()));
        } else {
            mOwner.refuse(unknown("the node that decides on this ticket is gone"));
        }
    }

    private void decideHere(Ticket ticket) {
        if (mLane.tickets().expired(ticket)) {
            mOwner.refuse(
                    CallFailure.of(
                            Verdict.MAY_HAVE_RUN, ErrorCode.BAD_TICKET, "the ticket has expired"));
            return;
        }
        OutcomeTable.Decision decision = mLane.tickets().begin(ticket, fingerprint(), this);
        StoredOutcome known = decision.outcome();
        switch (decision.status()) {
            case FIRST -> {
                mRunning = ticket;
                mOwner.proceed();
            }
            case WAITING -> mWaitingFor = ticket;
            case MISMATCH ->
                    mOwner.refuse(
                            CallFailure.notRun(
                                    ErrorCode.BAD_TICKET,
                                    "the ticket was used for another request"));
            case FULL ->
                    mOwner.refuse(
                            CallFailure.notRun(
                                    ErrorCode.OVERLOADED,
                                    "no room to remember a non-idempotent request"));
            default -> {
                if (known != null) {
                    mOwner.replay(known);
                }
            }
        }
    }

    private String fingerprint() {
        return mRequest.method().name()
                + ' '
                + mRequest.uri()
                + ' '
                + mRequest.headers().get(HttpHeaderNames.CONTENT_LENGTH, "");
    }

    private static CallFailure unknown(String detail) {
        return CallFailure.of(Verdict.MAY_HAVE_RUN, ErrorCode.OUTCOME_UNKNOWN, detail);
    }
}
