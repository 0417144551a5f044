package org.azurearch.internal.transport;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.Completions;
import org.azurearch.errors.ErrorCode;
import org.azurearch.events.EventLog;
import org.azurearch.thrift.PeerReply;
import org.azurearch.thrift.PeerRequest;
import org.azurearch.thrift.WireBusy;
import org.azurearch.thrift.WireRefused;
import org.azurearch.transport.AsyncPeerHandler;

/** Dispatches requests to the handler of their kind and converts failures into replies. */
final class PeerDispatcher {
    private static final Duration RETRY_AFTER = Duration.ofMillis(500);

    private final Map<PeerRequest._Fields, AsyncPeerHandler> mHandlers = new ConcurrentHashMap<>();
    private final PeerRequestQueues mQueues;

    PeerDispatcher(PeerRequestQueues queues) {
        mQueues = queues;
    }

    void register(PeerRequest._Fields kind, AsyncPeerHandler handler) {
        mHandlers.put(kind, handler);
    }

    /** Queues a request for its handler; the returned future never fails. */
    CompletableFuture<PeerReply> dispatch(PeerRequest request) {
        CompletableFuture<PeerReply> reply = new CompletableFuture<>();
        PeerRequest._Fields kind = request.getSetField();
        if (!mQueues.offer(kind, () -> run(kind, request, reply))) {
            reply.complete(busyReply());
        }
        return reply;
    }

    /** Returns the reply that tells the peer to retry later. */
    static PeerReply busyReply() {
        return PeerReply.busy(new WireBusy(RETRY_AFTER.toMillis()));
    }

    private void run(
            PeerRequest._Fields kind, PeerRequest request, CompletableFuture<PeerReply> reply) {
        try {
            handlerOf(kind)
                    .handle(request)
                    .whenComplete(
                            (answer, failure) ->
                                    reply.complete(
                                            failure == null
                                                    ? answer
                                                    : failureReply(kind, failure)));
        } catch (RuntimeException e) {
            reply.complete(failureReply(kind, e));
        }
    }

    private AsyncPeerHandler handlerOf(PeerRequest._Fields kind) {
        AsyncPeerHandler handler = mHandlers.get(kind);
        if (handler == null) {
            throw new AzurearchException(
                    ErrorCode.NOT_FOUND, "no handler for " + kind.getFieldName());
        }
        return handler;
    }

    private static PeerReply failureReply(PeerRequest._Fields kind, Throwable failure) {
        Throwable cause = Completions.unwrap(failure);
        if (cause instanceof AzurearchException known) {
            return known.code() == ErrorCode.BUSY
                    ? busyReply()
                    : refusedReply(known.code(), String.valueOf(known.getMessage()));
        }
        EventLog.log(
                TransportEvent.PEER_HANDLER_FAILED, cause, kind.getFieldName(), cause.toString());
        return refusedReply(ErrorCode.INTERNAL, "the handler failed");
    }

    private static PeerReply refusedReply(ErrorCode code, String message) {
        return PeerReply.refused(new WireRefused(code.code(), message));
    }
}
