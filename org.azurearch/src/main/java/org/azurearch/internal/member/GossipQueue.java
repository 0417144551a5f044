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
    private static final class Item {
        private final Object mUpdate;
        private int mSent;

        private Item(Object update) {
            mUpdate = update;
        }
    }

    private record BoardName(String kind, String key) {}

    private static final Comparator<Item> LEAST_SENT = Comparator.comparingInt(item -> item.mSent);

    private final Map<Object, Item> mItems = new LinkedHashMap<>();

    void add(Member member) {
        mItems.put(member.node(), new Item(member));
    }

    void add(Board.Entry entry) {
        mItems.put(new BoardName(entry.kind(), entry.key()), new Item(entry));
    }

    int size() {
        return mItems.size();
    }

    /**
     * Takes updates for one message and counts them as sent.
     *
     * @param maxUpdates the most updates taken
     * @param transmissions how often each update is sent in all
     */
    Gossip take(int maxUpdates, int transmissions) {
        if (mItems.isEmpty()) {
            return Gossip.NONE;
        }
        List<Item> chosen = mItems.values().stream().sorted(LEAST_SENT).limit(maxUpdates).toList();
        List<Member> members = new ArrayList<>();
        List<Board.Entry> board = new ArrayList<>();
        for (Item item : chosen) {
            item.mSent++;
            if (item.mUpdate instanceof Member member) {
                members.add(member);
            } else if (item.mUpdate instanceof Board.Entry entry) {
                board.add(entry);
            }
        }
        mItems.values().removeIf(item -> item.mSent >= transmissions);
        return new Gossip(members, board);
    }
}
