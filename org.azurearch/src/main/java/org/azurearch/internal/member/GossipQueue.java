package org.azurearch.internal.member;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.azurearch.member.Board;
import org.azurearch.member.Member;

/**
 * Updates waiting to ride on messages. Each is sent a bounded number of times; those sent least go
 * first. A newer update of the same thing replaces an older one.
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
            Comparator.comparingInt(item -> item.mTransmissions);

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
     * Takes updates for one message and counts them as sent.
     *
     * @param maxUpdates the most updates taken
     * @param transmissions how often each update is sent in all
     */
    Gossip nextBatch(int maxUpdates, int transmissions) {
        if (mUpdates.isEmpty()) {
            return Gossip.NONE;
        }
        List<QueuedUpdate> chosen =
                mUpdates.values().stream().sorted(FEWEST_TRANSMISSIONS).limit(maxUpdates).toList();
        List<Member> members = new ArrayList<>();
        List<Board.Entry> board = new ArrayList<>();
        for (QueuedUpdate item : chosen) {
            item.mTransmissions++;
            if (item.mUpdate instanceof Member member) {
                members.add(member);
            } else if (item.mUpdate instanceof Board.Entry entry) {
                board.add(entry);
            }
        }
        mUpdates.values().removeIf(item -> item.mTransmissions >= transmissions);
        return new Gossip(members, board);
    }
}
