package org.azurearch.internal.call;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import java.util.Optional;
import org.azurearch.call.CallFailure;
import org.azurearch.call.CallHeaders;
import org.azurearch.call.OutcomeMemory;
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
final class IdempotencyHandler implements TicketRegistry.Waiter {
    /** The call that is guarded. */
    interface Call {
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

    private final CallWorker mWorker;
    private final Call mCall;
    private final HttpRequest mRequest;
    private final boolean mFromNode;
    private String mClaimKey = "";
    private @Nullable Ticket mAwaitedTicket;
    private @Nullable Ticket mRunningTicket;

    /**
     * Creates a guard.
     *
     * @param fromNode whether another node has forwarded the request to this one to decide on it
     */
    IdempotencyHandler(CallWorker worker, Call call, HttpRequest request, boolean fromNode) {
        mWorker = worker;
        mCall = call;
        mRequest = request;
        mFromNode = fromNode;
    }

    /** Says whether a request carries a ticket or a key. */
    static boolean hasTicketOrKey(HttpRequest request) {
        return request.headers().contains(CallHeaders.TICKET)
                || request.headers().contains(CallHeaders.IDEMPOTENCY_KEY);
    }

    /** Decides by the ticket, or claims the key first. */
    void begin(Route route, @Nullable String ticketText) {
        if (ticketText == null) {
            claim(route);
            return;
        }
        Optional<Ticket> ticket = Ticket.fromString(mWorker.signer(), ticketText);
        if (ticket.isPresent()) {
            decide(ticket.get());
        } else {
            mCall.refuse(
                    CallFailure.notRun(ErrorCode.BAD_TICKET, "the ticket was not issued here"));
        }
    }

    /** Says whether the request has been found to be the first one. */
    boolean running() {
        return mRunningTicket != null;
    }

    /** Remembers how the request ended. */
    void ended(Verdict verdict, @Nullable StoredOutcome outcome) {
        Ticket ticket = mRunningTicket;
        mRunningTicket = null;
        if (mAwaitedTicket != null) {
            mWorker.tickets().abandon(mAwaitedTicket, this);
            mAwaitedTicket = null;
        }
        if (ticket == null) {
            return;
        }
        if (verdict == Verdict.NOT_RUN) {
            mWorker.tickets().release(ticket);
        } else {
            StoredOutcome stored =
                    outcome != null
                            ? outcome
                            : StoredOutcome.failed(outcomeUnknown("the first sending was lost"));
            mWorker.tickets().complete(ticket, stored);
        }
    }

    @Override
    public void outcome(StoredOutcome outcome) {
        mWorker.run(
                () -> {
                    if (mAwaitedTicket != null) {
                        mAwaitedTicket = null;
                        mCall.replay(outcome);
                    }
                });
    }

    @Override
    public void notRun() {
        mWorker.run(
                () -> {
                    if (mAwaitedTicket != null) {
                        mAwaitedTicket = null;
                        mCall.refuse(
                                CallFailure.notRun(
                                        ErrorCode.BUSY, "the first sending did not run"));
                    }
                });
    }

    private void claim(Route route) {
        String key = mRequest.headers().get(CallHeaders.IDEMPOTENCY_KEY, "");
        mClaimKey = ClaimKey.of(route.firm(), key);
        Member home = mFromNode ? null : mWorker.claimHome(mClaimKey);
        if (home == null || mWorker.isSelf(home.node())) {
            claimHere();
        } else {
            mCall.forward(home, null);
        }
    }

    /** Claims the key on this node, also where another one would usually do it. */
    void claimHere() {
        mWorker.claims()
                .claim(mClaimKey, mWorker.tickets().issue().text(mWorker.signer()))
                .whenComplete((winner, failure) -> mWorker.run(() -> onClaimed(winner, failure)));
    }

    private void onClaimed(@Nullable String winner, @Nullable Throwable failure) {
        Optional<Ticket> ticket = Ticket.fromString(mWorker.signer(), winner);
        if (failure == null && ticket.isPresent()) {
            decide(ticket.get());
            return;
        }
        mCall.refuse(
                CallFailure.of(
                        Verdict.MAY_HAVE_RUN,
                        ErrorCode.LOG_UNAVAILABLE,
                        "the key cannot be claimed now; this sending did not run"));
    }

    private void decide(Ticket ticket) {
        if (mCall.done()) {
            return;
        }
        if (mWorker.tickets().issuedHere(ticket)) {
            decideHere(ticket);
            return;
        }
        Optional<Member> home = mWorker.member(ticket.home());
        boolean mayForward = !mFromNode && !mWorker.isSelf(ticket.home());
        if (mayForward && home.isPresent() && home.get().reachable()) {
            mCall.forward(home.get(), ticket.text(mWorker.signer()));
        } else {
            mCall.refuse(outcomeUnknown("the node that decides on this ticket is gone"));
        }
    }

    private void decideHere(Ticket ticket) {
        if (mWorker.tickets().expired(ticket)) {
            mCall.refuse(
                    CallFailure.of(
                            Verdict.MAY_HAVE_RUN, ErrorCode.BAD_TICKET, "the ticket has expired"));
            return;
        }
        OutcomeMemory.Decision decision = mWorker.tickets().begin(ticket, fingerprint(), this);
        StoredOutcome known = decision.outcome();
        switch (decision.status()) {
            case FIRST -> {
                mRunningTicket = ticket;
                mCall.proceed();
            }
            case WAITING -> mAwaitedTicket = ticket;
            case MISMATCH ->
                    mCall.refuse(
                            CallFailure.notRun(
                                    ErrorCode.BAD_TICKET,
                                    "the ticket was used for another request"));
            case FULL ->
                    mCall.refuse(
                            CallFailure.notRun(
                                    ErrorCode.OVERLOADED,
                                    "no room to remember a non-idempotent request"));
            default -> {
                if (known != null) {
                    mCall.replay(known);
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

    private static CallFailure outcomeUnknown(String detail) {
        return CallFailure.of(Verdict.MAY_HAVE_RUN, ErrorCode.OUTCOME_UNKNOWN, detail);
    }
}
