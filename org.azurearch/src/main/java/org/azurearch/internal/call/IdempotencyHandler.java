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
 * Ensures that a non-idempotent request with a ticket or an idempotency key runs at most once. The
 * home node of the ticket decides, since it stores the outcomes; a key is first mapped to a ticket
 * by a claim. Confined to the event loop of its call.
 */
final class IdempotencyHandler implements TicketRegistry.Waiter {
    /** The call whose request is checked. */
    interface Call {
        /** Runs the request, which is the first one with its ticket. */
        void proceed();

        /**
         * Forwards the request to its home node, which claims the key if {@code ticket} is null.
         */
        void forward(Member home, @Nullable String ticket);

        /** Answers a repeated request with the outcome of the first one. */
        void replay(StoredOutcome outcome);

        /** Returns whether the call has ended, in which case the request must not run any more. */
        boolean done();

        /** Refuses the request. */
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
     * Creates a handler for one call.
     *
     * @param fromNode whether a peer has forwarded the request to this one as its home node
     */
    IdempotencyHandler(CallWorker worker, Call call, HttpRequest request, boolean fromNode) {
        mWorker = worker;
        mCall = call;
        mRequest = request;
        mFromNode = fromNode;
    }

    /** Returns whether a request carries a ticket or an idempotency key. */
    static boolean hasTicketOrKey(HttpRequest request) {
        return request.headers().contains(CallHeaders.TICKET)
                || request.headers().contains(CallHeaders.IDEMPOTENCY_KEY);
    }

    /** Checks the request's ticket, or claims its key if there is none. */
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
                    CallFailure.notRun(
                            ErrorCode.BAD_TICKET,
                            "the ticket is malformed or not signed by this mesh"));
        }
    }

    /**
     * Returns whether the request was found to be the first one and its outcome is not yet stored.
     */
    boolean running() {
        return mRunningTicket != null;
    }

    /** Stores the outcome of the call; releases the ticket if the request did not run. */
    void ended(Verdict verdict, @Nullable StoredOutcome outcome) {
        Ticket ticket = mRunningTicket;
        mRunningTicket = null;
        if (mAwaitedTicket != null) {
            mWorker.tickets().removeWaiting(mAwaitedTicket, this);
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
                            : StoredOutcome.failed(
                                    outcomeUnknown("the first request ended without an answer"));
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

    /** Claims the key on this node, even if a peer is its home node. */
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
                        "the idempotency key cannot be claimed now; this request did not run"));
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
            mCall.refuse(
                    outcomeUnknown(
                            "the node that issued this ticket is unreachable or has restarted"));
        }
    }

    private void decideHere(Ticket ticket) {
        if (mWorker.tickets().expired(ticket)) {
            mCall.refuse(
                    CallFailure.of(
                            Verdict.MAY_HAVE_RUN, ErrorCode.BAD_TICKET, "the ticket has expired"));
            return;
        }
        OutcomeTable.Decision decision = mWorker.tickets().begin(ticket, fingerprint(), this);
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
                                    "no room to store the outcome of a non-idempotent request"));
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
