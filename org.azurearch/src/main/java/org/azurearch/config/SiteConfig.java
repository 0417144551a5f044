package org.azurearch.config;

import java.util.Map;
import org.azurearch.lib.ClassId;
import org.azurearch.lib.Digest;
import org.azurearch.lib.PolicyId;
import org.azurearch.lib.RouteId;
import org.azurearch.lib.ServiceId;
import org.azurearch.lib.SiteId;
import org.azurearch.lib.VersionId;

/**
 * The whole configuration of one firm at one site: base merged with the site's overlay, validated.
 * Every route refers to a service, a class and a policy that the configuration contains.
 *
 * @param version the version
 * @param site the site
 * @param digest the digest of the merged content
 * @param services the services
 * @param classes the classes of calls
 * @param policies the policies
 * @param routes the routes
 * @param limits the limits of the firm
 */
public record SiteConfig(
        VersionId version,
        SiteId site,
        Digest digest,
        Map<ServiceId, ServiceConfig> services,
        Map<ClassId, ClassConfig> classes,
        Map<PolicyId, PolicyConfig> policies,
        Map<RouteId, RouteConfig> routes,
        FirmLimits limits) {
    /** Takes copies of the maps. */
    public SiteConfig {
        services = Map.copyOf(services);
        classes = Map.copyOf(classes);
        policies = Map.copyOf(policies);
        routes = Map.copyOf(routes);
    }
}
