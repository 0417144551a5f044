package org.azurearch.internal.call;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
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
public final class RequestFingerprint {
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
    private final String mQuery;
    private final HttpHeaders mHeaders;
    private final Set<String> mIgnoredHeaders;
    private final ByteArrayOutputStream mPrefix = new ByteArrayOutputStream(0);
    private boolean mComplete;

    RequestFingerprint(HttpRequest request) {
        this(request.method().name() + ' ' + request.uri(), "", request.headers(), Set.of());
    }

    private RequestFingerprint(
            String methodAndTarget, String query, HttpHeaders headers, Set<String> ignoredHeaders) {
        mMethodAndTarget = methodAndTarget;
        mQuery = query;
        mHeaders = headers;
        mIgnoredHeaders = ignoredHeaders;
    }

    /**
     * Returns the fingerprints of a request that is held whole, whose repetitions may differ in the
     * query: only the second fingerprint covers it.
     *
     * @param method the method
     * @param target the path with its query
     * @param headers the headers
     * @param ignoredHeaders names, in lower case, of further headers that may differ between
     *     repetitions
     * @param body the complete body
     */
    public static RequestFingerprint ofWhole(
            String method,
            String target,
            HttpHeaders headers,
            Set<String> ignoredHeaders,
            byte[] body) {
        String path = path(target);
        RequestFingerprint fingerprint =
                new RequestFingerprint(
                        method + ' ' + path,
                        target.substring(path.length()),
                        headers,
                        ignoredHeaders);
        fingerprint.add(Unpooled.wrappedBuffer(body));
        return fingerprint;
    }

    /**
     * Returns {@link #targetDigest} of a request that is held whole, without computing the rest.
     *
     * @param method the method
     * @param target the path with its query
     */
    public static String targetDigest(String method, String target) {
        return digest((method + ' ' + path(target)).getBytes(StandardCharsets.UTF_8));
    }

    private static String path(String target) {
        int queryAt = target.indexOf('?');
        return queryAt < 0 ? target : target.substring(0, queryAt);
    }

    /** Adds a part of the body. */
    void add(HttpContent content) {
        add(content.content());
        mComplete |= content instanceof LastHttpContent || mPrefix.size() >= PREFIX_BYTES;
    }

    private void add(ByteBuf bytes) {
        int length = Math.min(PREFIX_BYTES - mPrefix.size(), bytes.readableBytes());
        if (length > 0) {
            byte[] part = new byte[length];
            bytes.getBytes(bytes.readerIndex(), part);
            mPrefix.writeBytes(part);
        }
    }

    /** Returns whether further parts of the body no longer change the fingerprints. */
    boolean complete() {
        return mComplete;
    }

    /** Returns the digest of method and target. */
    public String targetDigest() {
        return digest(mMethodAndTarget.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns two fingerprints: one without and one with the headers. The first matches repetitions
     * whose headers vary; the second distinguishes a request that differs from ordinary ones only
     * in a header.
     */
    public List<String> fingerprints() {
        byte[] methodAndTarget = mMethodAndTarget.getBytes(StandardCharsets.UTF_8);
        byte[] prefix = mPrefix.toByteArray();
        String coarse = digest(methodAndTarget, new byte[1], prefix);
        byte[] headers = (mQuery + headerText()).getBytes(StandardCharsets.UTF_8);
        return List.of(coarse, coarse + SuspectTable.VARIANT_SEPARATOR + digest(headers));
    }

    /** Returns method and target in readable form, truncated. */
    public String summary() {
        return mMethodAndTarget.substring(0, Math.min(SUMMARY_CHARS, mMethodAndTarget.length()));
    }

    private String headerText() {
        TreeSet<String> lines = new TreeSet<>();
        for (Map.Entry<String, String> header : mHeaders) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            boolean varies =
                    VARYING_HEADERS.contains(name)
                            || mIgnoredHeaders.contains(name)
                            || name.startsWith(CallHeaders.PREFIX);
            if (!varies) {
                lines.add(name + ':' + header.getValue());
            }
        }
        return String.join("\n", lines);
    }

    private static String digest(byte[]... parts) {
        return HexFormat.of().formatHex(Arrays.copyOf(Digest.of(parts).bytes(), DIGEST_BYTES));
    }
}
