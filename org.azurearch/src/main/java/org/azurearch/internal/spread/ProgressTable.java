package org.azurearch.internal.spread;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.azurearch.lib.DataCentreId;
import org.azurearch.lib.NodeId;
import org.azurearch.member.Member;
import org.azurearch.member.MemberView;

/** How far the nodes have come, as their pulls and answers told this node. Thread-safe. */
final class ProgressTable {
    /** The most laggards that are named. */
    static final int MAX_LAGGARDS = 16;

    /**
     * What a node told last.
     *
     * @param offset its offset
     * @param reportedAtMillis when it told, in milliseconds since the epoch
     */
    record ReportedOffset(long offset, long reportedAtMillis) {}

    /**
     * A node that has not reached an offset as far as is known.
     *
     * @param node the node
     * @param reported what it told last; offset -1 and time 0 when nothing
     */
    record Laggard(NodeId node, ReportedOffset reported) {}

    /**
     * How far the nodes of a data centre have come.
     *
     * @param total the reachable nodes
     * @param inForce those that have reached the offset
     * @param laggards some of those that have not
     */
    record Count(int total, int inForce, List<Laggard> laggards) {}

    private static final ReportedOffset NO_REPORT = new ReportedOffset(-1, 0);

    private final Map<NodeId, ReportedOffset> mOffsets = new ConcurrentHashMap<>();
    private final Map<DataCentreId, Long> mLastReportMillis = new ConcurrentHashMap<>();

    /** Notes a node's position; offsets never go back unless the node has started anew. */
    void recordOffset(NodeId node, DataCentreId dataCentre, long offset, long wallMillis) {
        mOffsets.put(node, new ReportedOffset(offset, wallMillis));
        mLastReportMillis.put(dataCentre, wallMillis);
    }

    /** Returns when a data centre was last heard of, in milliseconds since the epoch, or 0. */
    long lastReportMillis(DataCentreId dataCentre) {
        return mLastReportMillis.getOrDefault(dataCentre, 0L);
    }

    /** Counts the nodes of a data centre that have reached an offset. */
    Count count(MemberView view, DataCentreId dataCentre, long offset, long ownOffset) {
        List<Member> members = view.reachable(dataCentre);
        List<Laggard> laggards = new ArrayList<>();
        int inForce = 0;
        for (Member member : members) {
            boolean self = member.node().equals(view.self().node());
            ReportedOffset heard = mOffsets.getOrDefault(member.node(), NO_REPORT);
            if ((self ? ownOffset : heard.offset()) >= offset) {
                inForce++;
            } else if (laggards.size() < MAX_LAGGARDS) {
                laggards.add(new Laggard(member.node(), heard));
            }
        }
        return new Count(members.size(), inForce, laggards);
    }

    /** Forgets nodes that the membership no longer knows. */
    void retainMembers(MemberView view) {
        mOffsets.keySet().removeIf(node -> view.member(node).isEmpty());
    }
}
