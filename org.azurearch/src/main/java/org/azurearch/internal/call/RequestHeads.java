package org.azurearch.internal.call;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import org.azurearch.call.CallHeaders;

/** Builds the heads of forwarded requests. */
final class RequestHeads {
    private RequestHeads() {}

    /** Returns the head for the destination node. */
    static HttpRequest forHop(HttpRequest request, HopRequest hop) {
        HttpRequest head = copy(request);
        head.headers().set(HopHeaders.HOP, hop.text());
        return head;
    }

    /** Returns the head for the home node. */
    static HttpRequest forHome(HttpRequest request, HomeRequest home) {
        HttpRequest head = copy(request);
        head.headers().set(HopHeaders.HOME, home.text());
        return head;
    }

    /** Returns the head for the backend server. */
    static HttpRequest forBackend(HttpRequest request, HopRequest hop, MeshKeys.Signer signer) {
        HttpRequest head = copy(request);
        head.headers().set(CallHeaders.CALL_ID, hop.callId());
        head.headers().set(CallHeaders.CONTEXT, hop.context().signedText(signer));
        head.headers().set(CallHeaders.DEADLINE_MILLIS, hop.deadlineMillis());
        return head;
    }

    private static HttpRequest copy(HttpRequest request) {
        HttpHeaders headers = request.headers().copy();
        HeaderRules.removeHopByHop(headers);
        HeaderRules.removeAzurearch(headers);
        return new DefaultHttpRequest(
                HttpVersion.HTTP_1_1, request.method(), request.uri(), headers);
    }
}
