package org.azurearch.internal.call;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.azurearch.call.CallFailure;
import org.azurearch.call.CallHeaders;
import org.azurearch.errors.ErrorCode;
import org.azurearch.lib.Verdict;
import org.jspecify.annotations.Nullable;

/** A call that a peer has sent to this node for its backend server. */
final class DestinationCall extends InboundCall {
    private final HopRequest mHop;

    DestinationCall(CallerHandler caller, CallWorker worker, HttpRequest request, HopRequest hop) {
        super(caller, worker, request, hop.deadlineMillis());
        mHop = hop;
    }

    @Override
    void start() {
        if (!worker().servesLocally(mHop)) {
            fail(
                    new CallFailure(
                            Verdict.NOT_RUN,
                            ErrorCode.NO_BACKEND_SERVER,
                            "this node has no backend server of that service",
                            0));
            return;
        }
        HttpRequest head = RequestHeads.forBackend(request(), mHop, worker().signer());
        Exchange exchange = new BackendExchange(worker(), head, mHop, this);
        exchange(exchange);
        exchange.start();
    }

    @Override
    void addAnswerHeaders(HttpHeaders headers) {
        headers.set(CallHeaders.CALL_ID, mHop.callId());
        headers.set(HopHeaders.FREE_SLOTS, worker().admission().freeSlots());
    }

    @Override
    void onFailure(CallFailure failure) {
        fail(failure);
    }

    @Override
    void onBody(HttpContent content) {
        Exchange exchange = exchange();
        if (exchange == null) {
            content.release();
        } else {
            exchange.body(content);
        }
    }

    @Override
    boolean acceptsBody() {
        Exchange exchange = exchange();
        return exchange == null || exchange.writable();
    }

    @Override
    void onAnswer(HttpResponse head) {}

    @Override
    void onAnswerBody(HttpContent content) {}

    @Override
    Verdict callVerdict(Verdict lastAttempt) {
        return lastAttempt;
    }

    @Override
    boolean continuesWithoutCaller() {
        return false;
    }

    @Override
    void onEnd(Verdict verdict, @Nullable ErrorCode code) {}
}
