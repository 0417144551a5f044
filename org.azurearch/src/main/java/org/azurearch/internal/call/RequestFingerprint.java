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
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import org.azurearch.call.CallHeaders;
import org.azurearch.call.SuspectTable;
import org.azurearch.lib.Digest;

/**
 * Defines which requests are the same: those with equal method, path, caller and whole body, at
 * whichever node they arrive. Their ids, deadlines, queries and other headers may differ; a second
 * fingerprint covers the query and the headers, to tell apart requests that differ in these only.
 */
public final class RequestFingerprint {
    /** Bytes of the body that are collected while no request to the target is suspect. */
    private static final int PREFIX_BYTES = 256;

    /** Bytes of the body that are collected otherwise; longer bodies are equal if these are. */
    private static final int WHOLE_BYTES = 1024 * 1024;

    private static final int DIGEST_BYTES = 12;
    private static final int SUMMARY_CHARS = 120;

    /** Start and factor of the 64-bit FNV-1a hash. */
    private static final long HASH_START = 0xcbf29ce484222325L;

    private static final long HASH_FACTOR = 0x100000001b3L;

    /** A character that neither paths nor names of callers contain. */
    private static final char SEPARATOR = 0;

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

    private final String mMethod;
    private final String mTarget;
    private final String mCaller;
    private final HttpHeaders mHeaders;
    private final Set<String> mIgnoredHeaders;
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream(0);
    private int mLimit = PREFIX_BYTES;
    private boolean mTruncated;
    private boolean mComplete;

    /**
     * Creates the fingerprint of a request whose body arrives in parts.
     *
     * @param request the head of the request
     * @param caller identifies who sent it
     */
    RequestFingerprint(HttpRequest request, String caller) {
        this(request.method().name(), request.uri(), caller, request.headers(), Set.of());
    }

    private RequestFingerprint(
            String method,
            String target,
            String caller,
            HttpHeaders headers,
            Set<String> ignoredHeaders) {
        mMethod = method;
        mTarget = target;
        mCaller = caller;
        mHeaders = headers;
        mIgnoredHeaders = ignoredHeaders;
    }

    /**
     * Returns the fingerprints of a request that is held whole.
     *
     * @param method the method
     * @param target the path with its query
     * @param caller identifies who sent it
     * @param headers the headers
     * @param ignoredHeaders names, in lower case, of further headers that may differ between
     *     repetitions
     * @param body the complete body
     */
    public static RequestFingerprint ofWhole(
            String method,
            String target,
            String caller,
            HttpHeaders headers,
            Set<String> ignoredHeaders,
            byte[] body) {
        RequestFingerprint fingerprint =
                new RequestFingerprint(method, target, caller, headers, ignoredHeaders);
        fingerprint.mLimit = body.length;
        fingerprint.add(Unpooled.wrappedBuffer(body));
        fingerprint.mComplete = true;
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

    /**
     * Collects the whole body instead of its start, as a request to the target is suspect. Called
     * before the first part of the body.
     */
    void coverWholeBody() {
        mLimit = WHOLE_BYTES;
    }

    /** Adds a part of the body. */
    void add(HttpContent content) {
        add(content.content());
        mComplete |= content instanceof LastHttpContent || mBody.size() >= WHOLE_BYTES;
    }

    private void add(ByteBuf bytes) {
        int length = Math.min(mLimit - mBody.size(), bytes.readableBytes());
        mTruncated |= length < bytes.readableBytes();
        if (length > 0) {
            byte[] part = new byte[length];
            bytes.getBytes(bytes.readerIndex(), part);
            mBody.writeBytes(part);
        }
    }

    /** Returns whether further parts of the body no longer change the fingerprints. */
    boolean complete() {
        return mComplete;
    }

    /** Returns the digest of method and path. */
    public String targetDigest() {
        return targetDigest(mMethod, mTarget);
    }

    /**
     * Returns the group of all requests to a path. Allocates nothing, as it is computed for each
     * request that completes.
     *
     * @param method the method
     * @param target the path with its query
     */
    public static long pathGroup(String method, String target) {
        int queryAt = target.indexOf('?');
        return hash(
                hash(HASH_START, method, method.length()),
                target,
                queryAt < 0 ? target.length() : queryAt);
    }

    /** Returns the group of the requests of a caller within that of all requests to a path. */
    public static long callerGroup(long pathGroup, String caller) {
        return hash((pathGroup ^ SEPARATOR) * HASH_FACTOR, caller, caller.length());
    }

    /**
     * Returns the group of the requests without a body within that of the requests of a caller to a
     * path; all of them are the same request.
     */
    public static long bodilessGroup(long callerGroup) {
        return (callerGroup ^ SEPARATOR) * HASH_FACTOR;
    }

    /** Returns {@link #bodilessGroup(long)} of this request, or empty if it has a body. */
    public OptionalLong bodilessGroup() {
        return mComplete && mBody.size() == 0
                ? OptionalLong.of(bodilessGroup(callerGroup(pathGroup(mMethod, mTarget), mCaller)))
                : OptionalLong.empty();
    }

    /** Returns the fingerprint of a group. */
    public static String groupFingerprint(long group) {
        return SuspectTable.GROUP_PREFIX + HexFormat.of().toHexDigits(group);
    }

    /** Returns the group of a fingerprint that {@link #groupFingerprint} returned. */
    public static long group(String fingerprint) {
        return HexFormat.fromHexDigitsToLong(
                fingerprint.substring(SuspectTable.GROUP_PREFIX.length()));
    }

    private static long hash(long start, String text, int length) {
        long hash = start;
        for (int i = 0; i < length; i++) {
            hash = (hash ^ text.charAt(i)) * HASH_FACTOR;
        }
        return hash;
    }

    /**
     * Returns the fingerprints. The first matches all repetitions of the request, the second one
     * only those with the same query and headers. Without these, as the body is not known, or has
     * not been collected whole, the list has the remaining ones only: that of all requests of the
     * caller to the path, and that of all requests to the path.
     */
    public List<String> fingerprints() {
        long path = pathGroup(mMethod, mTarget);
        String ofPath = groupFingerprint(path);
        String ofCaller = groupFingerprint(callerGroup(path, mCaller));
        if (!mComplete || (mTruncated && mLimit < WHOLE_BYTES)) {
            return List.of(ofCaller, ofPath);
        }
        byte[] target = methodAndPath().getBytes(StandardCharsets.UTF_8);
        byte[] caller = mCaller.getBytes(StandardCharsets.UTF_8);
        byte[] separator = new byte[1];
        String same = digest(target, separator, caller, separator, mBody.toByteArray());
        byte[] rest =
                (mTarget.substring(path(mTarget).length()) + headerText())
                        .getBytes(StandardCharsets.UTF_8);
        String variant = same + SuspectTable.VARIANT_SEPARATOR + digest(rest);
        return List.of(same, variant, ofCaller, ofPath);
    }

    /** Returns method and path in readable form, truncated. */
    public String summary() {
        String whole = methodAndPath();
        return whole.substring(0, Math.min(SUMMARY_CHARS, whole.length()));
    }

    private String methodAndPath() {
        return mMethod + ' ' + path(mTarget);
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
