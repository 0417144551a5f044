package org.azurearch.internal.call;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;
import org.azurearch.lib.Digest;

/** What requests that are sent again have in common: method, target and the body's beginning. */
final class RequestPrint {
    private static final int PREFIX_BYTES = 256;
    private static final int DIGEST_BYTES = 12;
    private static final int SUMMARY_CHARS = 120;

    private final String mMethodAndTarget;
    private final ByteArrayOutputStream mPrefix = new ByteArrayOutputStream(0);
    private boolean mComplete;

    RequestPrint(HttpRequest request) {
        mMethodAndTarget = request.method().name() + ' ' + request.uri();
    }

    /** Takes in a part of the body. */
    void add(HttpContent content) {
        ByteBuf bytes = content.content();
        int wanted = Math.min(PREFIX_BYTES - mPrefix.size(), bytes.readableBytes());
        if (wanted > 0) {
            byte[] part = new byte[wanted];
            bytes.getBytes(bytes.readerIndex(), part);
            mPrefix.writeBytes(part);
        }
        mComplete |= content instanceof LastHttpContent || mPrefix.size() >= PREFIX_BYTES;
    }

    /** Says whether the fingerprint cannot change any more. */
    boolean complete() {
        return mComplete;
    }

    /** Returns what identifies method and target. */
    String target() {
        return digest(mMethodAndTarget.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns what identifies the request. */
    String fingerprint() {
        return digest(
                mMethodAndTarget.getBytes(StandardCharsets.UTF_8),
                new byte[1],
                mPrefix.toByteArray());
    }

    /** Returns method and target for a person. */
    String summary() {
        return mMethodAndTarget.substring(0, Math.min(SUMMARY_CHARS, mMethodAndTarget.length()));
    }

    private static String digest(byte[]... parts) {
        return HexFormat.of().formatHex(Arrays.copyOf(Digest.of(parts).bytes(), DIGEST_BYTES));
    }
}
