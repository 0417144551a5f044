package org.azurearch.sidecar.internal;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Functions on headers held as a list of alternating names and values. */
public final class HeaderList {
    /** Headers that apply to a single connection or to message framing. */
    private static final Set<String> HOP_BY_HOP_HEADERS =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "upgrade",
                    "expect",
                    "transfer-encoding",
                    "content-length");

    private HeaderList() {}

    /**
     * Returns the headers to forward on another connection.
     *
     * @param headers the headers of a message
     * @param excluded further names, in lower case, that are not forwarded
     */
    public static List<String> endToEnd(HttpHeaders headers, Set<String> excluded) {
        Set<String> options = connectionOptions(headers);
        List<String> list = new ArrayList<>(2 * headers.size());
        Iterator<Map.Entry<CharSequence, CharSequence>> entries = headers.iteratorCharSequence();
        while (entries.hasNext()) {
            Map.Entry<CharSequence, CharSequence> entry = entries.next();
            String name = entry.getKey().toString();
            String lower = name.toLowerCase(Locale.ROOT);
            boolean omitted = HOP_BY_HOP_HEADERS.contains(lower) || excluded.contains(lower);
            if (!omitted && !options.contains(lower)) {
                list.add(name);
                list.add(entry.getValue().toString());
            }
        }
        return list;
    }

    /** Returns the value of a header, or null if it is missing. */
    public static @Nullable String value(List<String> list, String name) {
        for (int i = 0; i + 1 < list.size(); i += 2) {
            if (list.get(i).equalsIgnoreCase(name)) {
                return list.get(i + 1);
            }
        }
        return null;
    }

    /** Adds the headers of a list to those of a message. */
    public static void add(HttpHeaders headers, List<String> list) {
        for (int i = 0; i + 1 < list.size(); i += 2) {
            headers.add(list.get(i), list.get(i + 1));
        }
    }

    /** Returns the names that the Connection headers list, in lower case. */
    private static Set<String> connectionOptions(HttpHeaders headers) {
        if (!headers.contains(HttpHeaderNames.CONNECTION)) {
            return Set.of();
        }
        Set<String> options = new HashSet<>();
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String option : value.split(",")) {
                options.add(option.trim().toLowerCase(Locale.ROOT));
            }
        }
        return options;
    }
}
