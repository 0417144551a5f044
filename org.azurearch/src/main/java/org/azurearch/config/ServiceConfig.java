package org.azurearch.config;

import java.time.Duration;
import org.azurearch.lib.ServiceId;

/**
 * A service and the limits of each of its backend servers.
 *
 * @param id the service
 * @param slots the maximum number of concurrent requests of one backend server
 * @param connections the maximum number of connections to one backend server
 * @param slowStart the time over which the load of a new backend server rises to its full share
 * @param probePath the path that the node probes for health
 * @param probePeriod the time between two probes
 */
public record ServiceConfig(
        ServiceId id,
        int slots,
        int connections,
        Duration slowStart,
        String probePath,
        Duration probePeriod) {}
