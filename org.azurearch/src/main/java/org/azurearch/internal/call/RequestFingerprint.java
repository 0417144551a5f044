package org.azurearch.internal.call;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.azurearch.call.CallHeaders;
import org.azurearch.call.SuspectTable;
import org.azurearch.lib.Digest;

/**
 * Fingerprints of a request, equal for repetitions of the same request. They cover the method, the
 * target and the first bytes of the body; the second one also covers the headers.
 */
final class RequestFingerprint {
    private static final int PREFIX_BYTES = 256;
    private static final int DIGEST_BYTES = 12;
    private static final int SUMMARY_CHARS = 120;

    /** Headers that may differ between repetitions of a request. */
    private static final Set<String> VARYING_HEADERS =
            Set.of(
                    "date",
                    "content-length",
                    "transfer-encoding",
                    "traceparent",
                    "tracestate",
                    "x-request-id",
                    "x-correlation-id");

    private final String mMethodAndTarget;
    private final HttpHeaders mHeaders;
    private final ByteArrayOutputStream mPrefix = new ByteArrayOutputStream(0);
    private boolean mComplete;

    RequestFingerprint(HttpRequest request) {
        mMethodAndTarget = request.method().name() + ' ' + request.uri();
        mHeaders = request.headers();
    }

    /** Adds a part of the body. */
    void add(HttpContent content) {
        ByteBuf bytes = content.content();
        int length = Math.min(PREFIX_BYTES - mPrefix.size(), bytes.readableBytes());
        if (length > 0) {
            byte[] part = new byte[length];
            bytes.getBytes(bytes.readerIndex(), part);
            mPrefix.writeBytes(part);
        }
        mComplete |= content instanceof LastHttpContent || mPrefix.size() >= PREFIX_BYTES;
    }

    /** Returns whether further parts of the body no longer change the fingerprints. */
    boolean complete() {
        return mComplete;
    }

    /** Returns the digest of method and target. */
    String targetDigest() {
        return digest(mMethodAndTarget.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns two fingerprints: one without and one with the headers. The first matches repetitions
     * whose headers vary; the second distinguishes a request that differs from ordinary ones only
     * in a header.
     */
    List<String> fingerprints() {
        byte[] methodAndTarget = mMethodAndTarget.getBytes(StandardCharsets.UTF_8);
        byte[] prefix = mPrefix.toByteArray();
        String coarse = digest(methodAndTarget, new byte[1], prefix);
        byte[] headers = headerText().getBytes(StandardCharsets.UTF_8);
        return List.of(coarse, coarse + SuspectTable.VARIANT_SEPARATOR + digest(headers));
    }

    /** Returns method and target in readable form, truncated. */
    String summary() {
        return mMethodAndTarget.substring(0, Math.min(SUMMARY_CHARS, mMethodAndTarget.length()));
    }

    private String headerText() {
        TreeSet<String> lines = new TreeSet<>();
        for (Map.Entry<String, String> header : mHeaders) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!VARYING_HEADERS.contains(name) && !name.startsWith(CallHeaders.PREFIX)) {
                lines.add(name + ':' + header.getValue());
            }
        }
        return String.join("\n", lines);
    }

    private static String digest(byte[]... parts) {
        return HexFormat.of().formatHex(Arrays.copyOf(Digest.of(parts).bytes(), DIGEST_BYTES));
    }
}
