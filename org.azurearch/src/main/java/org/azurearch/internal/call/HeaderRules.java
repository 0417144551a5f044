package org.azurearch.internal.call;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.azurearch.call.CallHeaders;

/** Rules on which headers are forwarded. */
final class HeaderRules {
    /** Hop-by-hop headers: they apply to a single connection and are not forwarded. */
    private static final Set<String> HOP_BY_HOP =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "upgrade",
                    "expect");

    /** Headers that a Connection header must not name, since removing them alters the message. */
    private static final Set<String> PROTECTED =
            Set.of("host", "content-length", "transfer-encoding", "authorization", "cookie");

    private HeaderRules() {}

    /** Returns whether a Connection header names a protected header. */
    static boolean connectionNamesProtected(HttpHeaders headers) {
        for (String named : connectionNames(headers)) {
            if (PROTECTED.contains(named)) {
                return true;
            }
        }
        return false;
    }

    /** Removes hop-by-hop headers and those named by Connection headers. */
    static void removeHopByHop(HttpHeaders headers) {
        if (headers.contains(HttpHeaderNames.CONNECTION)) {
            connectionNames(headers).forEach(headers::remove);
        }
        HOP_BY_HOP.forEach(headers::remove);
    }

    /** Removes the headers whose names begin with {@link CallHeaders#PREFIX}. */
    static void removeAzurearch(HttpHeaders headers) {
        List<String> found = List.of();
        Iterator<Map.Entry<CharSequence, CharSequence>> entries = headers.iteratorCharSequence();
        while (entries.hasNext()) {
            CharSequence name = entries.next().getKey();
            if (isAzurearch(name)) {
                found = found.isEmpty() ? new ArrayList<>() : found;
                found.add(name.toString());
            }
        }
        found.forEach(headers::remove);
    }

    private static boolean isAzurearch(CharSequence name) {
        return AsciiString.regionMatches(
                name, true, 0, CallHeaders.PREFIX, 0, CallHeaders.PREFIX.length());
    }

    private static List<String> connectionNames(HttpHeaders headers) {
        List<String> names = new ArrayList<>();
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",")) {
                String trimmed = name.trim().toLowerCase(Locale.ROOT);
                if (!trimmed.isEmpty() && !trimmed.equals("close")) {
                    names.add(trimmed);
                }
            }
        }
        return names;
    }
}
