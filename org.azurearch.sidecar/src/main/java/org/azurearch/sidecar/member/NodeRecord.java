package org.azurearch.sidecar.member;

import org.azurearch.lib.NetAddress;
import org.jspecify.annotations.Nullable;

/**
 * The state of a node that it publishes to its peers.
 *
 * @param node the name of the node
 * @param dataCentre the name of its data centre
 * @param address the address at which peers reach it
 * @param incarnation increases with each start
 * @param sequence increases with each change within an incarnation
 * @param leaving whether the node is stopping
 * @param storeReachable whether the node reaches the platform's store
 * @param backend the backend server behind it, or null
 * @param linkMbps the bandwidth of the link of its VM, in Mbit/s; infinite if it is not limited
 */
public record NodeRecord(
        String node,
        String dataCentre,
        NetAddress address,
        long incarnation,
        long sequence,
        boolean leaving,
        boolean storeReachable,
        @Nullable BackendRecord backend,
        double linkMbps) {
    /** Creates the record of a node on a VM whose link is not limited. */
    public NodeRecord(
            String node,
            String dataCentre,
            NetAddress address,
            long incarnation,
            long sequence,
            boolean leaving,
            boolean storeReachable,
            @Nullable BackendRecord backend) {
        this(
                node,
                dataCentre,
                address,
                incarnation,
                sequence,
                leaving,
                storeReachable,
                backend,
                Double.POSITIVE_INFINITY);
    }

    /** Returns whether this record replaces another one of the same node. */
    public boolean newerThan(NodeRecord other) {
        return incarnation != other.incarnation
                ? incarnation > other.incarnation
                : sequence > other.sequence;
    }

    /** Returns this record with another backend server, or none. */
    public NodeRecord withBackend(@Nullable BackendRecord other) {
        return new NodeRecord(
                node,
                dataCentre,
                address,
                incarnation,
                sequence,
                leaving,
                storeReachable,
                other,
                linkMbps);
    }

    /** Returns this record as that of a node that is stopping. */
    public NodeRecord asLeaving() {
        return new NodeRecord(
                node,
                dataCentre,
                address,
                incarnation,
                sequence,
                true,
                storeReachable,
                backend,
                linkMbps);
    }

    /** Returns this record with the given reachability of the store. */
    public NodeRecord withStoreReachable(boolean reachable) {
        return new NodeRecord(
                node,
                dataCentre,
                address,
                incarnation,
                sequence,
                leaving,
                reachable,
                backend,
                linkMbps);
    }

    /** Returns this record with another incarnation and sequence. */
    public NodeRecord withVersion(long otherIncarnation, long otherSequence) {
        return new NodeRecord(
                node,
                dataCentre,
                address,
                otherIncarnation,
                otherSequence,
                leaving,
                storeReachable,
                backend,
                linkMbps);
    }
}
