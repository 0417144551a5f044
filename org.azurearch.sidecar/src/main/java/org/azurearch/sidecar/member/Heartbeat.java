package org.azurearch.sidecar.member;

import org.azurearch.lib.NetAddress;

/**
 * A heartbeat of the backend server behind this node.
 *
 * @param instance identifies the backend server
 * @param startedMillis when this run of it started, in milliseconds since the epoch; 0 if not said
 * @param sequence grows with each heartbeat of a run
 * @param service the name of its service
 * @param address where it takes requests
 * @param slots requests that it works on at a time
 * @param leaving whether it is about to stop
 * @param warmingMillis how much longer it is slow after its start
 */
public record Heartbeat(
        String instance,
        long startedMillis,
        long sequence,
        String service,
        NetAddress address,
        int slots,
        boolean leaving,
        int warmingMillis) {
    /** The sequence of what no heartbeat has said yet. */
    public static final long ASSUMED_SEQUENCE = -1;

    /** Checks the figures. */
    public Heartbeat {
        if (slots <= 0 || warmingMillis < 0) {
            throw new IllegalArgumentException("figures out of range in a heartbeat");
        }
    }

    /**
     * Returns the report of a backend server that an earlier run of this node knew.
     *
     * @param backend what other nodes knew of it
     * @param address where it takes requests
     */
    public static Heartbeat assumed(BackendRecord backend, NetAddress address) {
        return new Heartbeat(
                backend.instance(),
                0,
                ASSUMED_SEQUENCE,
                backend.service(),
                address,
                backend.slots(),
                false,
                0);
    }

    /** Returns this report as that of a backend server that is about to stop. */
    public Heartbeat asLeaving() {
        return new Heartbeat(
                instance, startedMillis, sequence, service, address, slots, true, warmingMillis);
    }
}
