package org.azurearch.sidecar.account;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.azurearch.internal.member.Hashes;
import org.azurearch.lib.NodeId;
import org.azurearch.member.Rendezvous;

/**
 * Divides the client accounts into partitions with a coordinator each, so that no node exchanges
 * messages about all of them. All nodes divide them in the same way.
 */
public final class QuotaPartitions {
    /** Number of partitions. Every node renews a delegation for each of them. */
    public static final int COUNT = 6;

    private static final String KEY = "quota/";

    private QuotaPartitions() {}

    /** Returns the partition of an account, from 0. */
    public static int of(String account) {
        return (int) Math.floorMod(Hashes.of(account), (long) COUNT);
    }

    /** Returns the accounts of each partition. */
    public static List<AccountDirectory> divide(AccountDirectory accounts) {
        List<List<ClientAccount>> divided = new ArrayList<>();
        for (int i = 0; i < COUNT; i++) {
            divided.add(new ArrayList<>());
        }
        accounts.accounts().forEach(account -> divided.get(of(account.name())).add(account));
        return divided.stream().map(AccountDirectory::new).toList();
    }

    /**
     * Returns the node that should coordinate each partition. Nodes get as many partitions as
     * others, or one more; few partitions change their node if a candidate comes or goes.
     *
     * @param candidates the nodes that may coordinate, in any order; not empty
     */
    public static List<String> assign(List<String> candidates) {
        List<NodeId> nodes = candidates.stream().map(NodeId::fromString).toList();
        int most = (COUNT + nodes.size() - 1) / nodes.size();
        Map<NodeId, Integer> assigned = new HashMap<>();
        List<String> coordinators = new ArrayList<>();
        for (int i = 0; i < COUNT; i++) {
            for (NodeId node : Rendezvous.rank(KEY + i, nodes)) {
                if (assigned.getOrDefault(node, 0) < most) {
                    assigned.merge(node, 1, Integer::sum);
                    coordinators.add(node.name());
                    break;
                }
            }
        }
        return coordinators;
    }
}
