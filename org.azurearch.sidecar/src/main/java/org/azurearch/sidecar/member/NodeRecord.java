package org.azurearch.sidecar.member;

import org.azurearch.lib.NetAddress;
import org.jspecify.annotations.Nullable;

/**
 * What a node says of itself.
 *
 * @param node the name of the node
 * @param dataCentre the name of its data centre
 * @param address where other nodes reach it
 * @param incarnation grows with each start
 * @param sequence grows with each change in one incarnation
 * @param leaving whether the node is stopping
 * @param storeReachable whether the node reaches the platform's store
 * @param backend the backend server behind it, or null
 */
public record NodeRecord(
        String node,
        String dataCentre,
        NetAddress address,
        long incarnation,
        long sequence,
        boolean leaving,
        boolean storeReachable,
        @Nullable BackendRecord backend) {
    /** Says whether this record replaces another one of the same node. */
    public boolean newerThan(NodeRecord other) {
        return incarnation != other.incarnation
                ? incarnation > other.incarnation
                : sequence > other.sequence;
    }

    /** Returns this record with another backend server, or none. */
    public NodeRecord withBackend(@Nullable BackendRecord other) {
        return new NodeRecord(
                node, dataCentre, address, incarnation, sequence, leaving, storeReachable, other);
    }

    /** Returns this record as that of a node that is stopping. */
    public NodeRecord asLeaving() {
        return new NodeRecord(
                node, dataCentre, address, incarnation, sequence, true, storeReachable, backend);
    }

    /** Returns this record with another state of the store. */
    public NodeRecord withStoreReachable(boolean reachable) {
        return new NodeRecord(
                node, dataCentre, address, incarnation, sequence, leaving, reachable, backend);
    }

    /** Returns this record with another version. */
    public NodeRecord withVersion(long otherIncarnation, long otherSequence) {
        return new NodeRecord(
                node,
                dataCentre,
                address,
                otherIncarnation,
                otherSequence,
                leaving,
                storeReachable,
                backend);
    }
}
