package org.azurearch.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.azurearch.config.MeshConfig;
import org.azurearch.config.RouteConfig;
import org.azurearch.config.SiteConfig;
import org.azurearch.lib.FirmId;
import org.jspecify.annotations.Nullable;

/**
 * The routes of a configuration, indexed by host and path prefix; immutable.
 *
 * <p>A route for the call's host takes precedence over one for any host, then the longest prefix of
 * whole path segments. Between equal routes of several firms, the firm whose name sorts first takes
 * precedence, unless the call names its firm.
 */
public final class RouteTable {
    /** A table without routes. */
    public static final RouteTable EMPTY = new RouteTable(Map.of());

    private static final String ANY_HOST = "";

    private final Map<String, Map<String, List<Route>>> mRoutesByHost;

    private RouteTable(Map<String, Map<String, List<Route>>> byHost) {
        mRoutesByHost = byHost;
    }

    /** Creates the table of the routes of all firms of a configuration. */
    public static RouteTable compile(MeshConfig config) {
        Map<String, Map<String, List<Route>>> byHost = new HashMap<>();
        Map<FirmId, SiteConfig> firms = new TreeMap<>(config.firms());
        firms.forEach(
                (firm, site) -> {
                    site.routes().values().stream()
                            .sorted(Comparator.comparing(RouteConfig::id))
                            .forEach(route -> add(byHost, resolve(firm, site, route)));
                });
        return new RouteTable(byHost);
    }

    /**
     * Finds the route of a call.
     *
     * @param firm the name of the firm that the call names, or null for any
     * @param host the host of the call, without port, in lower case
     * @param path the path, without query
     * @param method the HTTP method
     * @return the route, or null when none matches
     */
    public @Nullable Route match(@Nullable String firm, String host, String path, String method) {
        Route named = matchHost(mRoutesByHost.get(host), firm, path, method);
        return named != null ? named : matchHost(mRoutesByHost.get(ANY_HOST), firm, path, method);
    }

    private static @Nullable Route matchHost(
            @Nullable Map<String, List<Route>> byPrefix,
            @Nullable String firm,
            String path,
            String method) {
        if (byPrefix == null) {
            return null;
        }
        String prefix = withoutTrailingSlashes(path);
        while (true) {
            Route route = matchPrefix(byPrefix.get(prefix), firm, method);
            if (route != null || prefix.isEmpty()) {
                return route;
            }
            prefix = prefix.substring(0, Math.max(0, prefix.lastIndexOf('/')));
        }
    }

    private static @Nullable Route matchPrefix(
            @Nullable List<Route> routes, @Nullable String firm, String method) {
        if (routes == null) {
            return null;
        }
        for (Route route : routes) {
            boolean methodMatches =
                    route.config().methods().isEmpty() || route.config().methods().contains(method);
            if (methodMatches && (firm == null || route.firm().name().equals(firm))) {
                return route;
            }
        }
        return null;
    }

    private static void add(Map<String, Map<String, List<Route>>> byHost, Route route) {
        byHost.computeIfAbsent(
                        route.config().host().toLowerCase(Locale.ROOT), host -> new HashMap<>())
                .computeIfAbsent(
                        withoutTrailingSlashes(route.config().pathPrefix()),
                        prefix -> new ArrayList<>())
                .add(route);
    }

    private static Route resolve(FirmId firm, SiteConfig site, RouteConfig route) {
        return new Route(
                firm,
                site.version(),
                route,
                required(site.services().get(route.service()), route),
                required(site.classes().get(route.callClass()), route),
                required(site.policies().get(route.policy()), route),
                site.limits());
    }

    private static <T> T required(@Nullable T value, RouteConfig route) {
        if (value == null) {
            throw new IllegalStateException("route " + route.id() + " has a dangling reference");
        }
        return value;
    }

    private static String withoutTrailingSlashes(String path) {
        int end = path.length();
        while (end > 0 && path.charAt(end - 1) == '/') {
            end--;
        }
        return path.substring(0, end);
    }
}
