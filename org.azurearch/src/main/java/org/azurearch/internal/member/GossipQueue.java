package org.azurearch.internal.member;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.azurearch.member.Board;
import org.azurearch.member.Member;

/**
 * Updates queued for gossip. Each is sent a bounded number of times, those sent least often first.
 * A newer update of the same node or board entry replaces the older one.
 */
final class GossipQueue {
    private static final class QueuedUpdate {
        private final Object mUpdate;
        private int mTransmissions;

        private QueuedUpdate(Object update) {
            mUpdate = update;
        }
    }

    private record BoardKey(String kind, String key) {}

    private static final Comparator<QueuedUpdate> FEWEST_TRANSMISSIONS =
            Comparator.comparingInt(queued -> queued.mTransmissions);

    private final Map<Object, QueuedUpdate> mUpdates = new LinkedHashMap<>();

    void add(Member member) {
        mUpdates.put(member.node(), new QueuedUpdate(member));
    }

    void add(Board.Entry entry) {
        mUpdates.put(new BoardKey(entry.kind(), entry.key()), new QueuedUpdate(entry));
    }

    int size() {
        return mUpdates.size();
    }

    /**
     * Returns updates for one message and counts them as sent.
     *
     * @param maxUpdates the maximum number of updates returned
     * @param transmissions how often each update is sent in total
     */
    Gossip nextBatch(int maxUpdates, int transmissions) {
        if (mUpdates.isEmpty()) {
            return Gossip.NONE;
        }
        List<QueuedUpdate> chosen =
                mUpdates.values().stream().sorted(FEWEST_TRANSMISSIONS).limit(maxUpdates).toList();
        List<Member> members = new ArrayList<>();
        List<Board.Entry> board = new ArrayList<>();
        for (QueuedUpdate queued : chosen) {
            queued.mTransmissions++;
            if (queued.mUpdate instanceof Member member) {
                members.add(member);
            } else if (queued.mUpdate instanceof Board.Entry entry) {
                board.add(entry);
            }
        }
        mUpdates.values().removeIf(queued -> queued.mTransmissions >= transmissions);
        return new Gossip(members, board);
    }
}
