package org.azurearch.sidecar.internal.mesh;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.azurearch.lib.NodeId;
import org.azurearch.member.Rendezvous;
import org.azurearch.sidecar.member.BackendRecord;
import org.azurearch.sidecar.member.NodeRecord;

/**
 * Decides to which nodes this node keeps links. Links between all nodes cost each node descriptors,
 * pings and a handshake with every other one, which grows with the square of the mesh. In a large
 * mesh a node therefore links to its own data centre, to the relays of the others, and to some
 * backend servers elsewhere of those services that its own data centre has too few of.
 *
 * <p>Has no I/O. Confined to one thread.
 */
final class LinkPlan {
    /** Largest mesh in which every node links to every other one. */
    static final int MAX_DIRECT_NODES = 32;

    /** Number of relays in a data centre; with two, one may fail. */
    static final int RELAYS = 2;

    /** Backend servers of other data centres that a node links to for one service. */
    static final int REMOTE_ENDPOINTS = 8;

    /** A service with fewer ready backend servers in a data centre is called elsewhere as well. */
    private static final int MIN_LOCAL_ENDPOINTS = 2;

    private final Map<String, List<String>> mRelayOrders = new HashMap<>();
    private final Map<String, List<String>> mEndpointOrders = new HashMap<>();

    /** Drops what was derived from records, as one of them has changed. */
    void recordsChanged() {
        mRelayOrders.clear();
        mEndpointOrders.clear();
    }

    /**
     * Returns the names of the nodes to link to.
     *
     * @param self the record of this node
     * @param records the records of all nodes
     * @param demanded services for which this node's data centre has been short of room lately
     * @param failed whether a link to a node exists and does not come up; such a node stays linked
     *     and is replaced by a further one
     * @param settled whether a node has not just started; until a relay is, the one whose place it
     *     has taken stays linked, as it still coordinates quotas
     */
    Set<String> wanted(
            NodeRecord self,
            Collection<NodeRecord> records,
            Set<String> demanded,
            Predicate<String> failed,
            Predicate<NodeRecord> settled) {
        Set<String> wanted = new HashSet<>();
        boolean all = records.size() <= MAX_DIRECT_NODES;
        Map<String, List<NodeRecord>> remote = new TreeMap<>();
        for (NodeRecord record : records) {
            if (all || record.dataCentre().equals(self.dataCentre())) {
                wanted.add(record.node());
            } else {
                remote.computeIfAbsent(record.dataCentre(), dc -> new ArrayList<>()).add(record);
            }
        }
        wanted.remove(self.node());
        remote.forEach(
                (dataCentre, nodes) -> {
                    List<String> order = relayOrder(dataCentre, nodes);
                    addFirst(wanted, order, RELAYS, failed);
                    Set<String> started = new HashSet<>();
                    nodes.stream()
                            .filter(settled.negate())
                            .forEach(node -> started.add(node.node()));
                    List<String> others = new ArrayList<>(order);
                    others.removeAll(started);
                    addFirst(wanted, others, RELAYS, failed);
                });
        if (!remote.isEmpty()) {
            for (String service : services(self, records, demanded)) {
                List<String> order = endpointOrder(self, service, records);
                addFirst(wanted, order, REMOTE_ENDPOINTS, failed);
            }
        }
        return wanted;
    }

    /** Adds nodes in the given order until enough of them have not failed. */
    private static void addFirst(
            Set<String> wanted, List<String> order, int count, Predicate<String> failed) {
        int good = 0;
        for (int i = 0; i < order.size() && good < count; i++) {
            wanted.add(order.get(i));
            good += failed.test(order.get(i)) ? 0 : 1;
        }
    }

    /** Returns the demanded services and those of which this data centre has too few. */
    private static Set<String> services(
            NodeRecord self, Collection<NodeRecord> records, Set<String> demanded) {
        Map<String, Integer> localCounts = new HashMap<>();
        for (NodeRecord record : records) {
            BackendRecord backend = record.backend();
            if (backend != null && backend.ready() && !record.leaving()) {
                boolean local = record.dataCentre().equals(self.dataCentre());
                localCounts.merge(backend.service(), local ? 1 : 0, Integer::sum);
            }
        }
        Set<String> services = new HashSet<>(demanded);
        localCounts.forEach(
                (service, count) -> {
                    if (count < MIN_LOCAL_ENDPOINTS) {
                        services.add(service);
                    }
                });
        return services;
    }

    private List<String> relayOrder(String dataCentre, List<NodeRecord> nodes) {
        return mRelayOrders.computeIfAbsent(
                dataCentre,
                key ->
                        NodeOrder.widestFirst(
                                dataCentre,
                                nodes.stream().filter(node -> !node.leaving()).toList()));
    }

    /** Differs from node to node, so that all backend servers are linked to alike. */
    private List<String> endpointOrder(
            NodeRecord self, String service, Collection<NodeRecord> records) {
        return mEndpointOrders.computeIfAbsent(
                service,
                key ->
                        ranked(
                                self.node() + "/" + service,
                                records.stream()
                                        .filter(record -> servesElsewhere(record, self, service))
                                        .toList()));
    }

    private static boolean servesElsewhere(NodeRecord record, NodeRecord self, String service) {
        BackendRecord backend = record.backend();
        return backend != null
                && backend.ready()
                && !record.leaving()
                && backend.service().equals(service)
                && !record.dataCentre().equals(self.dataCentre());
    }

    private static List<String> ranked(String key, Collection<NodeRecord> records) {
        List<NodeId> nodes = new ArrayList<>();
        records.forEach(record -> nodes.add(NodeId.fromString(record.node())));
        return Rendezvous.rank(key, nodes).stream().map(NodeId::name).toList();
    }
}
