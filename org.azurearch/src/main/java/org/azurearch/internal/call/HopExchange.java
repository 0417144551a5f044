package org.azurearch.internal.call;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import org.azurearch.call.CallFailure;
import org.azurearch.call.CallHeaders;
import org.azurearch.errors.ErrorCode;
import org.azurearch.lib.NetAddress;
import org.azurearch.lib.NodeId;
import org.azurearch.lib.Verdict;
import org.azurearch.route.EndpointLoad;
import org.jspecify.annotations.Nullable;

/** An exchange with a peer. */
final class HopExchange implements Exchange, AnswerSink {
    private final CallWorker mWorker;
    private final AnswerSink mSink;
    private final @Nullable EndpointLoad mLoad;
    private final String mCallId;
    private final UpstreamExchange mUpstream;
    private @Nullable CallFailure mRefusal;

    /** Creates an exchange with the destination node of a backend server. */
    HopExchange(
            CallWorker worker, EndpointLoad load, HttpRequest head, long callId, AnswerSink sink) {
        this(worker, load, load.endpoint().calls(), load.endpoint().node(), head, callId, sink);
    }

    /** Creates an exchange with the home node of a request. */
    HopExchange(
            CallWorker worker,
            NetAddress address,
            NodeId node,
            HttpRequest head,
            long callId,
            AnswerSink sink) {
        this(worker, null, address, node, head, callId, sink);
    }

    private HopExchange(
            CallWorker worker,
            @Nullable EndpointLoad load,
            NetAddress address,
            NodeId node,
            HttpRequest head,
            long callId,
            AnswerSink sink) {
        mWorker = worker;
        mSink = sink;
        mLoad = load;
        mCallId = Long.toString(callId);
        mUpstream =
                new UpstreamExchange(
                        worker.hopPool(address, node),
                        head,
                        callId,
                        this,
                        ErrorCode.PEER_UNAVAILABLE);
    }

    @Override
    public void start() {
        mUpstream.start();
    }

    @Override
    public void body(HttpContent content) {
        mUpstream.body(content);
    }

    @Override
    public void flush() {
        mUpstream.flush();
    }

    @Override
    public boolean writable() {
        return mUpstream.writable();
    }

    @Override
    public void pauseAnswer(boolean paused) {
        mUpstream.pauseAnswer(paused);
    }

    @Override
    public Verdict cancel() {
        return mUpstream.cancel();
    }

    @Override
    public void answerHead(HttpResponse head) {
        Verdict verdict = verdict(head.headers().get(CallHeaders.VERDICT));
        if (verdict == null || !mCallId.equals(head.headers().get(CallHeaders.CALL_ID))) {
            mUpstream.cancel();
            failed(
                    CallFailure.of(
                            Verdict.MAY_HAVE_RUN,
                            ErrorCode.PEER_UNAVAILABLE,
                            "the answer belongs to another call"));
            return;
        }
        Integer freeSlots = head.headers().getInt(HopHeaders.FREE_SLOTS);
        if (freeSlots != null && mLoad != null) {
            mLoad.recordReport(freeSlots, mWorker.nanos());
        }
        ErrorCode code = ErrorCodes.fromCode(head.headers().get(CallHeaders.CODE));
        long retryAfterMillis = RetryAfter.millis(head.headers());
        if (code != null) {
            mRefusal =
                    new CallFailure(
                            verdict,
                            code,
                            "the call failed at the destination node",
                            retryAfterMillis);
            return;
        }
        HeaderRules.removeAzurearch(head.headers());
        mSink.answerHead(head);
    }

    @Override
    public void answerBody(HttpContent content) {
        CallFailure refusal = mRefusal;
        if (refusal == null) {
            mSink.answerBody(content);
            return;
        }
        content.release();
        if (content instanceof LastHttpContent) {
            mSink.failed(refusal);
        }
    }

    @Override
    public void answerFlush() {
        mSink.answerFlush();
    }

    @Override
    public void failed(CallFailure failure) {
        mSink.failed(mRefusal != null ? mRefusal : failure);
    }

    @Override
    public void requestWritable() {
        mSink.requestWritable();
    }

    private static @Nullable Verdict verdict(@Nullable String text) {
        for (Verdict verdict : Verdict.values()) {
            if (verdict.headerValue().equals(text)) {
                return verdict;
            }
        }
        return null;
    }
}
