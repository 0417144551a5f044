package org.azurearch.sidecar.internal.suspect;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Set;
import org.azurearch.internal.call.RequestFingerprint;
import org.azurearch.sidecar.Dialect;
import org.azurearch.sidecar.call.HopCall;
import org.azurearch.sidecar.internal.HeaderList;

/** Computes the fingerprints of calls, which repetitions of a request share at every node. */
public final class CallFingerprints {
    private final String mCallerHeader;
    private final Set<String> mIgnoredHeaders;

    /**
     * Creates an instance.
     *
     * @param dialect names the headers that differ between repetitions
     */
    public CallFingerprints(Dialect dialect) {
        mCallerHeader = dialect.callerService();
        mIgnoredHeaders =
                Set.of(dialect.requestId(), dialect.deadlineMillis(), dialect.callerService());
    }

    /** Returns the service that a call comes from, or an empty string if it is not known. */
    String caller(HopCall call) {
        String caller = call.header(mCallerHeader);
        return caller == null ? "" : caller;
    }

    /** Returns the fingerprints of a call. */
    public RequestFingerprint of(HopCall call) {
        HttpHeaders headers = new DefaultHttpHeaders(false);
        HeaderList.add(headers, call.headers());
        return RequestFingerprint.ofWhole(
                call.method(), call.target(), caller(call), headers, mIgnoredHeaders, call.body());
    }
}
