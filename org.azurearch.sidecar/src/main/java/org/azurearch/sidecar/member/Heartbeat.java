package org.azurearch.sidecar.member;

import org.azurearch.lib.NetAddress;

/**
 * A heartbeat of the backend server behind this node.
 *
 * @param instance identifies the backend server
 * @param startedMillis when this run of it started, in milliseconds since the epoch; 0 if not given
 * @param sequence increases with each heartbeat of a run
 * @param service the name of its service
 * @param address the address at which it takes requests
 * @param slots the number of requests that it runs concurrently
 * @param leaving whether it is about to stop
 * @param warmingMillis how much longer it is slow after its start, in milliseconds
 * @param version the version of its software; empty if it names none
 */
public record Heartbeat(
        String instance,
        long startedMillis,
        long sequence,
        String service,
        NetAddress address,
        int slots,
        boolean leaving,
        int warmingMillis,
        String version) {
    /** The sequence of a heartbeat that was assumed rather than received. */
    public static final long ASSUMED_SEQUENCE = -1;

    /** Creates a heartbeat that names no version. */
    public Heartbeat(
            String instance,
            long startedMillis,
            long sequence,
            String service,
            NetAddress address,
            int slots,
            boolean leaving,
            int warmingMillis) {
        this(
                instance,
                startedMillis,
                sequence,
                service,
                address,
                slots,
                leaving,
                warmingMillis,
                "");
    }

    /** Checks the slots and the warm-up time. */
    public Heartbeat {
        if (slots <= 0 || warmingMillis < 0) {
            throw new IllegalArgumentException(
                    "heartbeat without slots or with a negative warm-up time");
        }
    }

    /**
     * Returns an assumed heartbeat of a backend server that an earlier run of this node recorded.
     *
     * @param backend its record, as returned by a peer or the store
     * @param address the address at which it takes requests
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
                0,
                backend.version());
    }

    /**
     * Returns whether this and another heartbeat are of the same run of a backend server. An
     * assumed heartbeat, which names no start, is taken for one of any run of its instance.
     */
    public boolean sameRun(Heartbeat other) {
        boolean assumed = sequence == ASSUMED_SEQUENCE || other.sequence == ASSUMED_SEQUENCE;
        return instance.equals(other.instance) && (assumed || startedMillis == other.startedMillis);
    }

    /** Returns this heartbeat as that of a backend server that is about to stop. */
    public Heartbeat asLeaving() {
        return new Heartbeat(
                instance,
                startedMillis,
                sequence,
                service,
                address,
                slots,
                true,
                warmingMillis,
                version);
    }
}
