package org.azurearch.internal.call;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;

/** Drops the trailer fields of a body, which no reader uses and which may be dropped (RFC 9110). */
final class DiscardedTrailers extends DefaultHttpHeaders {
    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        return this;
    }

    @Override
    public HttpHeaders add(String name, Object value) {
        return this;
    }
}
