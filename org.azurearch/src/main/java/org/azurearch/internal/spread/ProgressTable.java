package org.azurearch.internal.spread;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.azurearch.lib.DataCentreId;
import org.azurearch.lib.NodeId;
import org.azurearch.member.Member;
import org.azurearch.member.MemberView;

/** The offsets that nodes have reported in pulls and replies. Thread-safe. */
final class ProgressTable {
    /** The maximum number of laggards listed. */
    static final int MAX_LAGGARDS = 16;

    /**
     * The last report of a node.
     *
     * @param offset the offset that the node has folded up to
     * @param reportedAtMillis the time of the report, in milliseconds since the epoch
     */
    record ReportedOffset(long offset, long reportedAtMillis) {}

    /**
     * A node that is not known to have reached an offset.
     *
     * @param node the node
     * @param reported its last report; offset -1 and time 0 if there is none
     */
    record Laggard(NodeId node, ReportedOffset reported) {}

    /**
     * The progress of a data centre towards an offset.
     *
     * @param total the number of reachable nodes
     * @param inForce the number of them that have reached the offset
     * @param laggards the others, at most {@link #MAX_LAGGARDS}
     */
    record Count(int total, int inForce, List<Laggard> laggards) {}

    private static final ReportedOffset NO_REPORT = new ReportedOffset(-1, 0);

    private final Map<NodeId, ReportedOffset> mOffsets = new ConcurrentHashMap<>();
    private final Map<DataCentreId, Long> mLastReportMillis = new ConcurrentHashMap<>();

    /** Records the offset of a node; it decreases only if the node has restarted. */
    void recordOffset(NodeId node, DataCentreId dataCentre, long offset, long wallMillis) {
        mOffsets.put(node, new ReportedOffset(offset, wallMillis));
        mLastReportMillis.put(dataCentre, wallMillis);
    }

    /**
     * Returns when a node of a data centre last reported, in milliseconds since the epoch, or 0 if
     * none has.
     */
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
            ReportedOffset reported = mOffsets.getOrDefault(member.node(), NO_REPORT);
            if ((self ? ownOffset : reported.offset()) >= offset) {
                inForce++;
            } else if (laggards.size() < MAX_LAGGARDS) {
                laggards.add(new Laggard(member.node(), reported));
            }
        }
        return new Count(members.size(), inForce, laggards);
    }

    /** Removes the nodes that are no longer members. */
    void retainMembers(MemberView view) {
        mOffsets.keySet().removeIf(node -> view.member(node).isEmpty());
    }
}
