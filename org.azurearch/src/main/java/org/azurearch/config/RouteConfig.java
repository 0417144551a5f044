package org.azurearch.config;

import java.time.Duration;
import java.util.Set;
import org.azurearch.lib.ClassId;
import org.azurearch.lib.PolicyId;
import org.azurearch.lib.RouteId;
import org.azurearch.lib.ServiceId;

/**
 * A route: which calls go to which service, and how.
 *
 * @param id the route
 * @param host the host that the call must name, or empty for any
 * @param pathPrefix the prefix of the path, from a slash; it matches whole path segments
 * @param methods the HTTP methods, upper-case; empty for any
 * @param service the service called
 * @param callClass the class of the calls
 * @param policy the policy for the calls
 * @param idempotent whether the calls are idempotent
 * @param deadline the longest a call may take
 */
public record RouteConfig(
        RouteId id,
        String host,
        String pathPrefix,
        Set<String> methods,
        ServiceId service,
        ClassId callClass,
        PolicyId policy,
        boolean idempotent,
        Duration deadline) {
    /** Takes a copy of the methods. */
    public RouteConfig {
        methods = Set.copyOf(methods);
    }
}
