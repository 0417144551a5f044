package org.azurearch.internal.member;

import java.nio.charset.StandardCharsets;
import org.azurearch.member.Board;
import org.azurearch.member.Member;

/**
 * 64-bit hashes. Those of records and board entries are summed, so that their order does not
 * matter.
 */
public final class Hashes {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private Hashes() {}

    /** Returns the hash of a text. */
    public static long of(String text) {
        long hash = FNV_OFFSET;
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ b) * FNV_PRIME;
        }
        return mix(hash);
    }

    /** Returns the hash of the node, incarnation and sequence of a member. */
    static long of(Member member) {
        return of(member.node().name(), member.incarnation(), member.sequence());
    }

    /** Returns the hash of a node's name, incarnation and sequence. */
    public static long of(String node, long incarnation, long sequence) {
        return mix(mix(of(node) + incarnation) * FNV_PRIME + sequence);
    }

    /** Returns the hash of a board entry. */
    static long of(Board.Entry entry) {
        return mix(of(entry.kind() + '\n' + entry.key() + '\n' + entry.value()))
                + mix(entry.expiresAtMillis());
    }

    private static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }
}
