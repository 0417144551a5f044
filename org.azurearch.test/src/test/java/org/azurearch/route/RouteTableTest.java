package org.azurearch.route;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.azurearch.config.ClassConfig;
import org.azurearch.config.FirmLimits;
import org.azurearch.config.MeshConfig;
import org.azurearch.config.PolicyConfig;
import org.azurearch.config.RouteConfig;
import org.azurearch.config.ServiceConfig;
import org.azurearch.config.SiteConfig;
import org.azurearch.lib.ClassId;
import org.azurearch.lib.Digest;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.PolicyId;
import org.azurearch.lib.RouteId;
import org.azurearch.lib.ServiceId;
import org.azurearch.lib.SiteId;
import org.azurearch.lib.VersionId;
import org.junit.jupiter.api.Test;

/** Tests the matching of calls to routes. */
class RouteTableTest {
    private static final SiteId SITE = SiteId.fromString("rennes");
    private static final ServiceId SERVICE = ServiceId.fromString("s");
    private static final ClassId CLASS = ClassId.fromString("c");
    private static final PolicyId POLICY = PolicyId.fromString("p");

    private final Map<RouteId, RouteConfig> mRoutes = new LinkedHashMap<>();

    @Test
    void longestPrefixOfWholeSegmentsWins() {
        add("all", "", "/", "GET");
        add("stock", "", "/stock", "GET");
        add("hay", "", "/stock/hay/", "GET");
        assertEquals("hay", match("x", "/stock/hay", "GET"));
        assertEquals("hay", match("x", "/stock/hay/", "GET"));
        assertEquals("hay", match("x", "/stock/hay/round", "GET"));
        assertEquals("stock", match("x", "/stock/hays", "GET"));
        assertEquals("all", match("x", "/stocks", "GET"));
        assertEquals("all", match("x", "/", "GET"));
    }

    @Test
    void hostAndMethodAreMatched() {
        add("read", "", "/orders", "GET");
        add("write", "", "/orders", "POST");
        add("named", "orders.example", "/", "GET");
        assertEquals("read", match("x", "/orders/1", "GET"));
        assertEquals("write", match("x", "/orders/1", "POST"));
        assertEquals("named", match("orders.example", "/orders/1", "GET"));
        assertEquals("write", match("orders.example", "/orders/1", "POST"));
        assertEquals("none", match("x", "/orders/1", "PUT"));
    }

    @Test
    void shorterPrefixMatchesMethodsMissingFromTheLongerOne() {
        add("any", "", "/orders", "POST");
        add("special", "", "/orders/special", "GET");
        assertEquals("any", match("x", "/orders/special", "POST"));
    }

    private String match(String host, String path, String method) {
        Route route = table().match(null, host, path, method);
        return route == null ? "none" : route.config().id().name();
    }

    private RouteTable table() {
        FirmId firm = FirmId.fromString("regie");
        SiteConfig site =
                new SiteConfig(
                        new VersionId(firm, 1),
                        SITE,
                        Digest.EMPTY,
                        Map.of(
                                SERVICE,
                                new ServiceConfig(
                                        SERVICE, 1, 1, Duration.ZERO, "/", Duration.ofSeconds(1))),
                        Map.of(CLASS, new ClassConfig(CLASS, 0)),
                        Map.of(POLICY, new PolicyConfig(POLICY, 1, 0, 1, Duration.ofSeconds(1))),
                        mRoutes,
                        new FirmLimits(0, 1));
        return RouteTable.compile(new MeshConfig(0, Digest.EMPTY, SITE, Map.of(firm, site)));
    }

    private void add(String id, String host, String prefix, String method) {
        RouteId route = RouteId.fromString(id);
        mRoutes.put(
                route,
                new RouteConfig(
                        route,
                        host,
                        prefix,
                        Set.of(method),
                        SERVICE,
                        CLASS,
                        POLICY,
                        true,
                        Duration.ofSeconds(1)));
    }
}
