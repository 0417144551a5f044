package org.azurearch.sidecar.internal.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.azurearch.lib.NetAddress;
import org.azurearch.sidecar.member.BackendRecord;
import org.azurearch.sidecar.member.NodeRecord;
import org.junit.jupiter.api.Test;

/** Guards against links between all nodes, whose number grows with the square of the mesh. */
class LinkPlanTest {
    private static final int DATA_CENTRES = 5;
    private static final String[] SERVICES = {"stock", "orders", "accounts"};

    private final LinkPlan mPlan = new LinkPlan();

    @Test
    void smallMeshLinksAllNodes() {
        List<NodeRecord> records = mesh(LinkPlan.MAX_DIRECT_NODES);
        assertEquals(records.size() - 1, wanted(records, Set.of(), Set.of()).size());
    }

    @Test
    void calmLargeMeshLinksOwnDataCentreAndRelays() {
        List<NodeRecord> records = mesh(95);
        assertEquals(
                95 / DATA_CENTRES - 1 + (DATA_CENTRES - 1) * LinkPlan.RELAYS,
                wanted(records, Set.of(), Set.of()).size());
    }

    /** Guards against relays whose messages wait behind large answers on a narrow link. */
    @Test
    void relaysAreOnTheVmsWithTheWidestLinks() {
        List<NodeRecord> records = new ArrayList<>(mesh(95));
        Set<String> wide = new HashSet<>();
        for (int i = 0; i < records.size(); i++) {
            boolean isWide = i >= 95 - DATA_CENTRES * LinkPlan.RELAYS;
            records.set(i, withLink(records.get(i), isWide ? 140 : 7));
            if (isWide && records.get(i).node().contains("-r")) {
                wide.add(records.get(i).node());
            }
        }
        Set<String> remote = wanted(records, Set.of(), Set.of());
        remote.removeIf(node -> !node.contains("-r"));
        assertEquals(wide, remote);
    }

    /** Guards against nodes that start and reach no coordinator that the others use. */
    @Test
    void relaysThatGaveWayToNodesThatHaveJustStartedStayLinked() {
        List<NodeRecord> records = mesh(95);
        Set<String> before = wanted(records, Set.of(), Set.of());
        Set<String> started = new HashSet<>();
        for (int i = records.size() - DATA_CENTRES * LinkPlan.RELAYS; i < records.size(); i++) {
            records.set(i, withLink(records.get(i), Double.POSITIVE_INFINITY));
            started.add(records.get(i).node());
        }
        for (int i = 0; i < records.size(); i++) {
            if (!started.contains(records.get(i).node())) {
                records.set(i, withLink(records.get(i), 7));
            }
        }
        Set<String> after =
                new LinkPlan()
                        .wanted(
                                records.get(0),
                                records,
                                Set.of(),
                                node -> false,
                                node -> !started.contains(node.node()));
        assertTrue(after.containsAll(before), after + " lacks some of " + before);
        assertTrue(after.containsAll(started), after + " lacks some of " + started);
    }

    @Test
    void demandAddsSomeBackendServersOfTheServiceElsewhere() {
        List<NodeRecord> records = mesh(95);
        Set<String> calm = wanted(records, Set.of(), Set.of());
        Set<String> busy = wanted(records, Set.of("stock"), Set.of());
        long serving = busy.stream().filter(node -> node.contains("stock-r")).count();
        assertTrue(serving >= LinkPlan.REMOTE_ENDPOINTS, "linked: " + serving);
        assertTrue(busy.size() <= calm.size() + LinkPlan.REMOTE_ENDPOINTS, "all: " + busy.size());
    }

    @Test
    void failedNodesStayLinkedAndAreReplaced() {
        List<NodeRecord> records = mesh(95);
        Set<String> calm = wanted(records, Set.of(), Set.of());
        Set<String> remote = new HashSet<>(calm);
        remote.removeIf(node -> !node.contains("-r"));
        Set<String> replaced = wanted(records, Set.of(), remote);
        assertTrue(replaced.containsAll(calm));
        assertEquals(calm.size() + remote.size(), replaced.size());
    }

    @Test
    void serviceWithoutServersInTheDataCentreIsLinkedAheadOfTheFirstCall() {
        List<NodeRecord> records = mesh(95);
        records.removeIf(node -> node.node().startsWith("orders-l"));
        Set<String> wanted = wanted(records, Set.of(), Set.of());
        long serving = wanted.stream().filter(node -> node.contains("orders-r")).count();
        assertTrue(serving >= LinkPlan.REMOTE_ENDPOINTS, "linked: " + serving);
    }

    /** All nodes together link to the backend servers of a service about alike. */
    @Test
    void demandIsSpreadOverAllBackendServers() {
        List<NodeRecord> records = mesh(95);
        Map<String, Integer> links = new HashMap<>();
        for (NodeRecord self : records) {
            LinkPlan plan = new LinkPlan();
            for (String node :
                    plan.wanted(self, records, Set.of("orders"), n -> false, n -> true)) {
                links.merge(node, 1, Integer::sum);
            }
        }
        for (NodeRecord record : records) {
            int count = links.getOrDefault(record.node(), 0);
            assertTrue(count >= 18, record.node() + " is linked by " + count);
        }
    }

    private static NodeRecord withLink(NodeRecord record, double mbps) {
        return new NodeRecord(
                record.node(),
                record.dataCentre(),
                record.address(),
                1,
                1,
                false,
                true,
                record.backend(),
                mbps);
    }

    private Set<String> wanted(List<NodeRecord> records, Set<String> demanded, Set<String> failed) {
        return mPlan.wanted(records.get(0), records, demanded, failed::contains, node -> true);
    }

    /**
     * Returns nodes named after their service, with l or r for the first or another data centre.
     */
    private static List<NodeRecord> mesh(int nodes) {
        List<NodeRecord> records = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            int dataCentre = i % DATA_CENTRES;
            String service = SERVICES[i % SERVICES.length];
            String name = service + (dataCentre == 0 ? "-l" : "-r") + i;
            records.add(
                    new NodeRecord(
                            name,
                            "dc" + dataCentre,
                            new NetAddress("127.0.0.1", 7000 + i),
                            1,
                            1,
                            false,
                            true,
                            new BackendRecord(service, "i-" + name, 4, true, 0)));
        }
        return records;
    }
}
