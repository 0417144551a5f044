package org.azurearch.internal.call;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.jspecify.annotations.Nullable;

/** Accepting side of the proof on one connection. */
final class HopAcceptor {
    private final Lane mLane;
    private @Nullable HopProof mProof;
    private boolean mProved;

    HopAcceptor(Lane lane) {
        mLane = lane;
    }

    /** Says whether the other side has proved to be a node of the mesh. */
    boolean proved() {
        return mProved;
    }

    /** Answers a request of the exchange. */
    HttpResponse answer(HttpRequest request) {
        String hello = request.headers().get(HopProof.HELLO);
        String proof = request.headers().get(HopProof.PROOF);
        if (hello != null) {
            return hello(hello.split(" "));
        }
        HopProof expected = mProof;
        mProof = null;
        mProved = expected != null && proof != null && expected.clientProved(mLane.signer(), proof);
        return empty(mProved ? HttpResponseStatus.NO_CONTENT : HttpResponseStatus.FORBIDDEN);
    }

    private HttpResponse hello(String[] parts) {
        if (parts.length != 2) {
            return empty(HttpResponseStatus.BAD_REQUEST);
        }
        String nonce = mLane.nonce();
        HopProof proof = new HopProof(parts[0], parts[1], mLane.self(), nonce);
        mProof = proof;
        HttpResponse answer = empty(HttpResponseStatus.OK);
        String value = mLane.self() + " " + nonce + " " + proof.byServer(mLane.signer());
        answer.headers().set(HopProof.HELLO, value);
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
