package org.azurearch.internal.call;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.jspecify.annotations.Nullable;

/** Server side of the handshake between nodes, for one connection. */
final class HopHandshakeServer {
    private final CallWorker mWorker;
    private @Nullable HopHandshake mHandshake;
    private boolean mAuthenticated;

    HopHandshakeServer(CallWorker worker) {
        mWorker = worker;
    }

    /** Returns whether the client has been authenticated as a node of the mesh. */
    boolean authenticated() {
        return mAuthenticated;
    }

    /** Answers a request of the handshake. */
    HttpResponse answer(HttpRequest request) {
        String hello = request.headers().get(HopHandshake.HELLO);
        String proof = request.headers().get(HopHandshake.PROOF);
        if (hello != null) {
            return hello(hello.split(" "));
        }
        HopHandshake expected = mHandshake;
        mHandshake = null;
        mAuthenticated =
                expected != null
                        && proof != null
                        && expected.verifiesClient(mWorker.signer(), proof);
        return empty(mAuthenticated ? HttpResponseStatus.NO_CONTENT : HttpResponseStatus.FORBIDDEN);
    }

    private HttpResponse hello(String[] parts) {
        if (parts.length != 2) {
            return empty(HttpResponseStatus.BAD_REQUEST);
        }
        String nonce = mWorker.nonce();
        HopHandshake handshake = new HopHandshake(parts[0], parts[1], mWorker.nodeName(), nonce);
        mHandshake = handshake;
        HttpResponse answer = empty(HttpResponseStatus.OK);
        String value =
                mWorker.nodeName() + " " + nonce + " " + handshake.serverProof(mWorker.signer());
        answer.headers().set(HopHandshake.HELLO, value);
        return answer;
    }

    private static HttpResponse empty(HttpResponseStatus status) {
        HttpResponse answer = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
        if (!status.equals(HttpResponseStatus.NO_CONTENT)) {
            answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        }
        return answer;
    }
}
