package org.azurearch.sidecar.member;

import org.azurearch.lib.NetAddress;

/**
 * A heartbeat of the backend server behind this node.
 *
 * @param instance identifies the backend server
 * @param bornMillis when this run of it started, in milliseconds since the epoch; 0 if not said
 * @param sequence grows with each heartbeat of a run
 * @param service the name of its service
 * @param address where it takes requests
 * @param slots requests that it works on at a time
 * @param leaving whether it is about to stop
 * @param warmingMillis how much longer it is slow after its start
 */
public record BackendReport(
        String instance,
        long bornMillis,
        long sequence,
        String service,
        NetAddress address,
        int slots,
        boolean leaving,
        int warmingMillis) {
    /** Checks the figures. */
    public BackendReport {
        if (slots <= 0 || warmingMillis < 0) {
            throw new IllegalArgumentException("figures out of range in a heartbeat");
        }
    }
}
