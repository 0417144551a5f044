package org.azurearch.internal.member;

import java.util.List;
import org.azurearch.member.Board;
import org.azurearch.member.Member;

/**
 * Membership updates piggybacked on a message.
 *
 * @param members records of nodes
 * @param board entries of the board
 */
record Gossip(List<Member> members, List<Board.Entry> board) {
    static final Gossip NONE = new Gossip(List.of(), List.of());

    Gossip {
        members = List.copyOf(members);
        board = List.copyOf(board);
    }

    static Gossip of(Member member) {
        return new Gossip(List.of(member), List.of());
    }

    boolean isEmpty() {
        return members.isEmpty() && board.isEmpty();
    }
}
