package org.azurearch.internal.member;

import java.util.List;
import org.azurearch.lib.NetAddress;
import org.azurearch.member.BackendState;
import org.azurearch.member.Endpoint;
import org.azurearch.member.Member;
import org.azurearch.member.MemberState;

/** Creates modified copies of member records. */
final class Members {
    private Members() {}

    static Member withState(Member member, MemberState state) {
        return copy(member, member.incarnation(), member.sequence(), state);
    }

    static Member withSequence(Member member, long sequence) {
        return copy(member, member.incarnation(), sequence, member.state());
    }

    static Member withIncarnation(Member member, long incarnation) {
        return copy(member, incarnation, 0, member.state());
    }

    /** Returns whether a node is not reachable or has an endpoint that is not ready. */
    static boolean unreachableOrNotReady(Member member) {
        return !member.reachable()
                || member.endpoints().stream()
                        .anyMatch(endpoint -> endpoint.state() != BackendState.READY);
    }

    /**
     * Replaces the addresses and increments the sequence; the endpoints get the new calls address.
     */
    static Member withAddresses(Member member, NetAddress calls, NetAddress admin) {
        Member changed =
                new Member(
                        member.node(),
                        member.dataCentre(),
                        member.region(),
                        member.incarnation(),
                        member.sequence() + 1,
                        member.state(),
                        member.peer(),
                        calls,
                        admin,
                        List.of());
        return withEndpoints(changed, member.endpoints(), changed.sequence());
    }

    /** Replaces the endpoints and the sequence. */
    static Member withEndpoints(Member member, List<Endpoint> endpoints, long sequence) {
        List<Endpoint> rebound =
                endpoints.stream().map(endpoint -> endpointOf(endpoint, member)).toList();
        return new Member(
                member.node(),
                member.dataCentre(),
                member.region(),
                member.incarnation(),
                sequence,
                member.state(),
                member.peer(),
                member.calls(),
                member.admin(),
                rebound);
    }

    private static Member copy(Member member, long incarnation, long sequence, MemberState state) {
        Member changed =
                new Member(
                        member.node(),
                        member.dataCentre(),
                        member.region(),
                        incarnation,
                        sequence,
                        state,
                        member.peer(),
                        member.calls(),
                        member.admin(),
                        member.endpoints());
        return incarnation == member.incarnation()
                ? changed
                : withEndpoints(changed, member.endpoints(), sequence);
    }

    private static Endpoint endpointOf(Endpoint endpoint, Member member) {
        return new Endpoint(
                endpoint.firm(),
                endpoint.service(),
                member.node(),
                member.incarnation(),
                member.dataCentre(),
                member.region(),
                member.calls(),
                endpoint.state(),
                endpoint.slots(),
                endpoint.readySinceMillis());
    }
}
