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

/** Which headers go on from one connection to the next. */
final class HeaderRules {
    /** Headers that hold for one connection only. */
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

    /** Headers that a Connection header must not name, since removing them changes the message. */
    private static final Set<String> PROTECTED =
            Set.of("host", "content-length", "transfer-encoding", "authorization", "cookie");

    private HeaderRules() {}

    /** Says whether a Connection header names a header that must stay. */
    static boolean connectionNamesProtected(HttpHeaders headers) {
        for (String named : connectionNames(headers)) {
            if (PROTECTED.contains(named)) {
                return true;
            }
        }
        return false;
    }

    /** Removes the headers that hold for one connection only. */
    static void removeHopByHop(HttpHeaders headers) {
        if (headers.contains(HttpHeaderNames.CONNECTION)) {
            connectionNames(headers).forEach(headers::remove);
        }
        HOP_BY_HOP.forEach(headers::remove);
    }

    /** Removes the headers of this system. */
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
