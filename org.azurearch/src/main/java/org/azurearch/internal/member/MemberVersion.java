package org.azurearch.internal.member;

import java.util.Comparator;
import org.azurearch.member.Member;
import org.azurearch.member.MemberState;

/**
 * The version of a node's record. The higher incarnation wins, then the higher sequence, then the
 * more severe state.
 *
 * @param incarnation the incarnation
 * @param sequence the sequence within the incarnation
 * @param state the state
 */
record MemberVersion(long incarnation, long sequence, MemberState state)
        implements Comparable<MemberVersion> {
    private static final Comparator<MemberVersion> ORDER =
            Comparator.comparingLong(MemberVersion::incarnation)
                    .thenComparingLong(MemberVersion::sequence)
                    .thenComparingInt(version -> severity(version.state()));

    static MemberVersion of(Member member) {
        return new MemberVersion(member.incarnation(), member.sequence(), member.state());
    }

    boolean supersedes(MemberVersion other) {
        return compareTo(other) > 0;
    }

    @Override
    public int compareTo(MemberVersion other) {
        return ORDER.compare(this, other);
    }

    private static int severity(MemberState state) {
        return switch (state) {
            case ALIVE -> 0;
            case SUSPECT -> 1;
            case DEAD -> 2;
            case LEFT -> 3;
        };
    }
}
