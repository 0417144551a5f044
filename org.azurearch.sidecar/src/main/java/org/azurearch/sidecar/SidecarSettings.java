package org.azurearch.sidecar;

import java.util.List;
import org.azurearch.lib.NetAddress;
import org.jspecify.annotations.Nullable;

/**
 * The settings of a node.
 *
 * @param node the name of the node
 * @param dataCentre the name of its data centre
 * @param service the service of the backend server beside it
 * @param backend the address at which that backend server takes requests
 * @param calls the address to which callers on this VM send their requests
 * @param ready the address at which the platform polls whether the node takes calls
 * @param heartbeats the address to which the backend server sends its heartbeats
 * @param peers the address at which this node listens for peers
 * @param advertisedPeers the address at which peers reach this node; null if it is the one that it
 *     listens at
 * @param metrics the address at which metrics are served
 * @param seeds peers to contact at the start; they may be down
 * @param heartbeatMillis the period of the backend server's heartbeats
 * @param graceMillis the longest duration of a planned shutdown
 * @param configApplyMillis the time within which an accepted configuration has to be in force
 * @param retries the bound on retries that all nodes share
 * @param callers the limits of what callers may hold
 * @param features settings of features that only some deployments use
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
        @Nullable NetAddress advertisedPeers,
        NetAddress metrics,
        List<NetAddress> seeds,
        long heartbeatMillis,
        long graceMillis,
        long configApplyMillis,
        RetryBound retries,
        CallerLimits callers,
        FeatureSettings features) {
    /**
     * The bound on retries at other backend servers, summed over all nodes.
     *
     * @param ratio retries allowed for each request of a service in a window
     * @param reserve additional retries allowed in each window
     * @param windowMillis the length of a window
     */
    public record RetryBound(double ratio, double reserve, long windowMillis) {}

    /** Copies the seeds. */
    public SidecarSettings {
        seeds = List.copyOf(seeds);
    }
}
