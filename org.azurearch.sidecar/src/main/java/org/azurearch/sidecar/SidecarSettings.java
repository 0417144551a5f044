package org.azurearch.sidecar;

import java.util.List;
import org.azurearch.lib.NetAddress;

/**
 * What a node needs to know at its start.
 *
 * @param node the name of the node
 * @param dataCentre the name of its data centre
 * @param service the service of the backend server beside it
 * @param backend where that backend server takes requests
 * @param calls where callers on this VM send their requests
 * @param ready where the platform asks whether the node takes calls
 * @param heartbeats where the backend server sends its heartbeats
 * @param peers where other nodes reach this one
 * @param metrics where metrics are served
 * @param seeds other nodes that may be there at the start
 * @param heartbeatMillis how often the backend server sends a heartbeat
 * @param graceMillis how long a planned stop may take
 * @param configApplyMillis within which time an accepted configuration is in force
 * @param retries the bound on repeats that all nodes share
 */
public record SidecarSettings(
        String node,
        String dataCentre,
        String service,
        NetAddress backend,
        NetAddress calls,
        NetAddress ready,
        NetAddress heartbeats,
        NetAddress peers,
        NetAddress metrics,
        List<NetAddress> seeds,
        long heartbeatMillis,
        long graceMillis,
        long configApplyMillis,
        RetryBound retries) {
    /**
     * The bound on sending requests to a second backend server, summed over all nodes.
     *
     * @param ratio repeats for each request of a service in a window
     * @param reserve repeats besides, in each window
     * @param windowMillis the length of a window
     */
    public record RetryBound(double ratio, double reserve, long windowMillis) {}

    /** Copies the list. */
    public SidecarSettings {
        seeds = List.copyOf(seeds);
    }
}
