package org.azurearch.config;

import java.time.Duration;
import java.util.Set;
import org.azurearch.lib.ClassId;
import org.azurearch.lib.PolicyId;
import org.azurearch.lib.RouteId;
import org.azurearch.lib.ServiceId;

/**
 * A route: selects calls and the service, class and policy for them.
 *
 * @param id the route
 * @param host the host that the call must have, or empty for any
 * @param pathPrefix the prefix of the path, starting with a slash; it matches whole path segments
 * @param methods the HTTP methods, upper-case; empty for any
 * @param service the service called
 * @param callClass the class of the calls
 * @param policy the policy for the calls
 * @param idempotent whether the calls are idempotent
 * @param deadline the maximum duration of a call
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
