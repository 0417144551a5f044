package org.azurearch.route;

import org.azurearch.config.ClassConfig;
import org.azurearch.config.FirmLimits;
import org.azurearch.config.PolicyConfig;
import org.azurearch.config.RouteConfig;
import org.azurearch.config.ServiceConfig;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.VersionId;

/**
 * A route with its references resolved within one configuration version; immutable.
 *
 * @param firm the firm that owns the route
 * @param version the version of the firm's configuration
 * @param config the route as configured
 * @param service the service that calls go to
 * @param callClass the class of the calls
 * @param policy the policy for the calls
 * @param limits the limits of the firm
 */
public record Route(
        FirmId firm,
        VersionId version,
        RouteConfig config,
        ServiceConfig service,
        ClassConfig callClass,
        PolicyConfig policy,
        FirmLimits limits) {}
