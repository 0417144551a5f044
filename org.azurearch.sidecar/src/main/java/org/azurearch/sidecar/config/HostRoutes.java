package org.azurearch.sidecar.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * The routes of one host by prefix. A lookup costs one hash per slash of the path instead of one
 * comparison per route, of which a configuration may have thousands.
 */
final class HostRoutes {
    private final Map<String, RouteRule> mByPrefix = new HashMap<>();

    /** Routes whose prefix does not end with a slash, which each lookup compares. */
    private final List<RouteRule> mOthers = new ArrayList<>();

    private int mSize;

    /** Adds a route; of several with the same prefix, the first is found. */
    void add(RouteRule rule) {
        mSize++;
        if (rule.prefix().endsWith("/")) {
            mByPrefix.putIfAbsent(rule.prefix(), rule);
        } else {
            mOthers.add(rule);
        }
    }

    /** Returns the number of routes. */
    int size() {
        return mSize;
    }

    /** Returns the route with the longest prefix of a path, or null if none matches. */
    @Nullable RouteRule find(String path) {
        RouteRule found = null;
        for (int at = path.lastIndexOf('/');
                at >= 0 && found == null;
                at = path.lastIndexOf('/', at - 1)) {
            found = mByPrefix.get(path.substring(0, at + 1));
        }
        for (RouteRule rule : mOthers) {
            boolean longer = found == null || rule.prefix().length() > found.prefix().length();
            if (longer && path.startsWith(rule.prefix())) {
                found = rule;
            }
        }
        return found;
    }
}
