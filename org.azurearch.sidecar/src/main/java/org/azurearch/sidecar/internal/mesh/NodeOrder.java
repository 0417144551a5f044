package org.azurearch.sidecar.internal.mesh;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.azurearch.lib.NodeId;
import org.azurearch.member.Rendezvous;
import org.azurearch.sidecar.member.NodeRecord;
import org.azurearch.sidecar.member.NodeTable;

/**
 * The reachable nodes of each data centre, in the same order at all nodes that reach them. Duties
 * go to the first of them, so that those that are leaving are apart. Confined to one thread.
 */
final class NodeOrder {
    /**
     * Nodes that start within this time are equally old. Long enough that nodes that are restarted
     * one after another do not take turns in the duties.
     */
    private static final long GENERATION_MILLIS = 5_000;

    private final NodeTable mTable;
    private final String mSelf;
    private final Predicate<String> mUp;

    /** Cached until a record or a link changes, as the order is needed several times a second. */
    private final Map<String, List<String>> mNodes = new HashMap<>();

    /**
     * Creates the order.
     *
     * @param table the records of all nodes
     * @param self the name of this node
     * @param up whether the link to a node is up
     */
    NodeOrder(NodeTable table, String self, Predicate<String> up) {
        mTable = table;
        mSelf = self;
        mUp = up;
    }

    /** Drops what is cached, as a record or a link has changed. */
    void clear() {
        mNodes.clear();
    }

    /**
     * Returns the reachable nodes of a data centre in their order.
     *
     * @param dataCentre the name of the data centre
     * @param withStore whether to return only nodes that reach the platform's store
     */
    List<String> nodes(String dataCentre, boolean withStore) {
        return mNodes.computeIfAbsent(
                dataCentre + "/" + withStore, key -> compute(dataCentre, withStore));
    }

    /** Returns the first reachable nodes of a data centre, which read the platform's store. */
    List<String> readers(String dataCentre, int count) {
        List<String> withStore = nodes(dataCentre, true);
        return withStore.subList(0, Math.min(count, withStore.size()));
    }

    /** Returns whether no reachable node of a data centre, this one included, has the store. */
    boolean storeOutOfReach(String dataCentre) {
        return mTable.records().stream()
                .noneMatch(
                        record ->
                                record.storeReachable()
                                        && record.dataCentre().equals(dataCentre)
                                        && reachable(record));
    }

    /**
     * Returns whether this node is the first to read the store for a data centre as all that come
     * before it have lost the store.
     */
    boolean succeedsReaders(String dataCentre) {
        return nodes(dataCentre, true).indexOf(mSelf) == 0
                && nodes(dataCentre, false).indexOf(mSelf) > 0;
    }

    /**
     * Returns the readers of all data centres that this node reaches. The first ones of each data
     * centre precede the second ones.
     *
     * @param count the number of readers in each data centre
     */
    List<String> allReaders(int count) {
        Set<String> dataCentres = new TreeSet<>();
        mTable.records().forEach(record -> dataCentres.add(record.dataCentre()));
        List<String> readers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            for (String dataCentre : dataCentres) {
                List<String> ofDataCentre = readers(dataCentre, count);
                if (i < ofDataCentre.size()) {
                    readers.add(ofDataCentre.get(i));
                }
            }
        }
        return readers;
    }

    /**
     * Returns the nodes to which this node pushes configurations. Readers also push to nodes that
     * are leaving, which have no duties but serve their callers until they end.
     *
     * @param readers the number of readers in the data centre
     */
    Set<String> children(String dataCentre, int readers) {
        List<String> roots = readers(dataCentre, readers);
        Set<String> children = PushTree.children(mSelf, roots, nodes(dataCentre, false));
        if (roots.contains(mSelf)) {
            mTable.records().stream()
                    .filter(node -> node.leaving() && node.dataCentre().equals(dataCentre))
                    .forEach(node -> children.add(node.node()));
        }
        return children;
    }

    private List<String> compute(String dataCentre, boolean withStore) {
        List<NodeRecord> nodes = new ArrayList<>();
        for (NodeRecord record : mTable.records()) {
            boolean same = record.dataCentre().equals(dataCentre);
            boolean usable = !record.leaving() && (!withStore || record.storeReachable());
            if (same && usable && reachable(record)) {
                nodes.add(record);
            }
        }
        return widestFirst(dataCentre, nodes);
    }

    private boolean reachable(NodeRecord record) {
        return record.node().equals(mSelf) || mUp.test(record.node());
    }

    /**
     * Returns the names of nodes with the widest links first, since the first ones send to many
     * others: on a link that large answers fill, their messages would wait. Of equal links, those
     * of nodes that started earlier come first, as a change of duties costs more than keeping them;
     * nodes that started at about the same time are ranked for a key.
     */
    static List<String> widestFirst(String key, Collection<NodeRecord> records) {
        Map<String, NodeRecord> byName = new HashMap<>();
        records.forEach(record -> byName.put(record.node(), record));
        List<NodeId> nodes = byName.keySet().stream().map(NodeId::fromString).toList();
        return Rendezvous.rank(key, nodes).stream()
                .map(node -> byName.get(node.name()))
                .sorted(
                        Comparator.comparing(NodeRecord::linkMbps, Comparator.reverseOrder())
                                .thenComparing(NodeOrder::generation))
                .map(NodeRecord::node)
                .toList();
    }

    /** Returns a number that is the same for nodes that started at about the same time. */
    private static long generation(NodeRecord node) {
        return node.incarnation() / GENERATION_MILLIS;
    }
}
