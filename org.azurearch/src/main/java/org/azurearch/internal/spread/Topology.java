package org.azurearch.internal.spread;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.azurearch.lib.DataCentreId;
import org.azurearch.lib.NodeId;
import org.azurearch.member.Member;
import org.azurearch.member.MemberView;
import org.azurearch.member.Rendezvous;

/**
 * The reachable nodes and the readers of each data centre, in this node's view of the membership.
 *
 * @param self this node
 * @param home its data centre
 * @param nodes the reachable nodes by data centre, sorted
 * @param readers the readers by data centre, in order of rank
 */
record Topology(
        NodeId self,
        DataCentreId home,
        SortedMap<DataCentreId, List<NodeId>> nodes,
        Map<DataCentreId, List<NodeId>> readers) {
    private static final String READER_KEY = "reader/";

    /** Builds the topology from a view of the membership. */
    static Topology of(MemberView view, int readerCount) {
        SortedMap<DataCentreId, List<NodeId>> nodes = new TreeMap<>();
        for (DataCentreId dataCentre : view.dataCentres()) {
            nodes.put(dataCentre, view.reachable(dataCentre).stream().map(Member::node).toList());
        }
        Member self = view.self();
        return of(self.node(), self.dataCentre(), nodes, readerCount);
    }

    /** Builds the topology from the nodes by data centre. */
    static Topology of(
            NodeId self,
            DataCentreId home,
            SortedMap<DataCentreId, List<NodeId>> nodes,
            int readerCount) {
        Map<DataCentreId, List<NodeId>> readers = new TreeMap<>();
        nodes.forEach(
                (dataCentre, members) -> {
                    List<NodeId> ranked = Rendezvous.rank(READER_KEY + dataCentre.name(), members);
                    readers.put(
                            dataCentre, ranked.subList(0, Math.min(readerCount, ranked.size())));
                });
        return new Topology(self, home, nodes, readers);
    }

    /**
     * Returns this node's rank among the readers of its data centre, or -1 if it is not a reader.
     */
    int rank() {
        return readers.getOrDefault(home, List.of()).indexOf(self);
    }

    /** Returns the other nodes of this data centre. */
    List<NodeId> neighbours() {
        return withoutSelf(nodes.getOrDefault(home, List.of()));
    }

    /** Returns the other readers of this data centre. */
    List<NodeId> homeReaders() {
        return withoutSelf(readers.getOrDefault(home, List.of()));
    }

    /** Returns the readers of the other data centres. */
    List<NodeId> remoteReaders() {
        List<NodeId> remote = new ArrayList<>();
        readers.forEach(
                (dataCentre, members) -> {
                    if (!dataCentre.equals(home)) {
                        remote.addAll(members);
                    }
                });
        return remote;
    }

    /** Returns the readers of all data centres. */
    List<NodeId> allReaders() {
        List<NodeId> all = new ArrayList<>();
        readers.values().forEach(all::addAll);
        return all;
    }

    private List<NodeId> withoutSelf(List<NodeId> members) {
        return members.stream().filter(member -> !member.equals(self)).toList();
    }
}
