package org.azurearch.internal.call;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
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
        Set<String> named =
                headers.contains(HttpHeaderNames.CONNECTION)
                        ? new HashSet<>(connectionNames(headers))
                        : Set.of();
        removeIf(headers, name -> isHopByHop(name, named));
    }

    /** Removes the headers whose names begin with {@link CallHeaders#PREFIX}. */
    static void removeAzurearch(HttpHeaders headers) {
        removeIf(headers, HeaderRules::isAzurearch);
    }

    /**
     * Removes headers in one pass: to remove each name by itself would search the headers as often
     * as there are names.
     */
    private static void removeIf(HttpHeaders headers, Predicate<CharSequence> removed) {
        Iterator<Map.Entry<CharSequence, CharSequence>> entries = headers.iteratorCharSequence();
        boolean found = false;
        while (!found && entries.hasNext()) {
            found = removed.test(entries.next().getKey());
        }
        if (found) {
            List<Map.Entry<CharSequence, CharSequence>> kept = new ArrayList<>();
            headers.iteratorCharSequence()
                    .forEachRemaining(
                            header -> {
                                if (!removed.test(header.getKey())) {
                                    kept.add(header);
                                }
                            });
            headers.clear();
            kept.forEach(header -> headers.add(header.getKey(), header.getValue()));
        }
    }

    private static boolean isHopByHop(CharSequence name, Set<String> named) {
        String lower = name.toString().toLowerCase(Locale.ROOT);
        return HOP_BY_HOP.contains(lower) || named.contains(lower);
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
