package org.azurearch.internal.call;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import org.jspecify.annotations.Nullable;

/**
 * The headers of a message that is being read, whose memory is accounted for line by line. Adding a
 * line for which there is no memory fails with {@link RequestMemoryException}.
 */
public final class MeteredHeaders extends DefaultHttpHeaders {
    private static final DefaultHttpHeadersFactory FACTORY =
            DefaultHttpHeadersFactory.headersFactory();

    private final RequestMemory.Lease mLease;

    MeteredHeaders(RequestMemory.Lease lease) {
        super(FACTORY.getNameValidator(), FACTORY.getValueValidator());
        mLease = lease;
    }

    /** Returns the memory of a message; null if it is not accounted for. */
    public static RequestMemory.@Nullable Lease leaseOf(HttpMessage message) {
        return message.headers() instanceof MeteredHeaders headers ? headers.mLease : null;
    }

    /** Gives back the memory of a message, if it is accounted for. */
    public static void release(HttpMessage message) {
        if (message.headers() instanceof MeteredHeaders headers) {
            headers.mLease.release();
        }
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        take(name, value);
        return super.add(name, value);
    }

    @Override
    public HttpHeaders add(String name, Object value) {
        take(name, value);
        return super.add(name, value);
    }

    private void take(CharSequence name, Object value) {
        CharSequence text = value instanceof CharSequence chars ? chars : value.toString();
        if (!mLease.tryAdd(RequestMemory.lineBytes(name, text))) {
            throw mLease.refusal();
        }
    }
}
