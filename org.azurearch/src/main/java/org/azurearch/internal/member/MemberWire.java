package org.azurearch.internal.member;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.events.EventLog;
import org.azurearch.lib.DataCentreId;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.NetAddress;
import org.azurearch.lib.NodeId;
import org.azurearch.lib.RegionId;
import org.azurearch.lib.ServiceId;
import org.azurearch.member.BackendState;
import org.azurearch.member.Board;
import org.azurearch.member.Endpoint;
import org.azurearch.member.Member;
import org.azurearch.member.MemberState;
import org.azurearch.thrift.WireAddress;
import org.azurearch.thrift.WireBoardEntry;
import org.azurearch.thrift.WireEndpoint;
import org.azurearch.thrift.WireGossip;
import org.azurearch.thrift.WireMember;
import org.azurearch.thrift.WireMemberVersion;
import org.azurearch.thrift.WireSync;
import org.azurearch.thrift.WireSyncReply;
import org.jspecify.annotations.Nullable;

/**
 * Converts the membership's messages to and from Thrift.
 *
 * <p>Reading throws {@link AzurearchException} with {@code CORRUPT} or {@code BAD_NAME} when a
 * value is outside its range; among the members of gossip, only the one with it is ignored.
 */
final class MemberWire {
    private MemberWire() {}

    static WireGossip write(Gossip gossip) {
        WireGossip wire = new WireGossip();
        if (!gossip.members().isEmpty()) {
            wire.setMembers(gossip.members().stream().map(MemberWire::write).toList());
        }
        if (!gossip.board().isEmpty()) {
            wire.setBoard(gossip.board().stream().map(MemberWire::write).toList());
        }
        return wire;
    }

    static Gossip read(@Nullable WireGossip wire) {
        if (wire == null) {
            return Gossip.NONE;
        }
        List<Member> members = new ArrayList<>();
        if (wire.isSetMembers()) {
            for (WireMember member : wire.getMembers()) {
                readOrIgnore(member).ifPresent(members::add);
            }
        }
        List<Board.Entry> board = new ArrayList<>();
        if (wire.isSetBoard()) {
            wire.getBoard().forEach(entry -> board.add(read(entry)));
        }
        return new Gossip(members, board);
    }

    /** Reads a member, or logs why it cannot be read; the others hold. */
    private static Optional<Member> readOrIgnore(WireMember wire) {
        try {
            return Optional.of(read(wire));
        } catch (AzurearchException e) {
            EventLog.log(
                    MemberEvent.MEMBER_MALFORMED, wire.getNode(), String.valueOf(e.getMessage()));
            return Optional.empty();
        }
    }

    static WireMember write(Member member) {
        WireMember wire =
                new WireMember(
                        member.node().name(),
                        member.dataCentre().name(),
                        member.region().name(),
                        member.incarnation(),
                        member.sequence(),
                        member.state().ordinal(),
                        write(member.peer()),
                        write(member.calls()),
                        write(member.admin()));
        if (!member.endpoints().isEmpty()) {
            wire.setEndpoints(member.endpoints().stream().map(MemberWire::write).toList());
        }
        return wire;
    }

    static Member read(WireMember wire) {
        Member withoutEndpoints =
                new Member(
                        NodeId.fromString(wire.getNode()),
                        DataCentreId.fromString(wire.getDataCentre()),
                        RegionId.fromString(wire.getRegion()),
                        wire.getIncarnation(),
                        wire.getSequence(),
                        enumConstant(MemberState.values(), wire.getState()),
                        read(wire.getPeer()),
                        read(wire.getCalls()),
                        read(wire.getAdmin()),
                        List.of());
        if (!wire.isSetEndpoints()) {
            return withoutEndpoints;
        }
        List<Endpoint> endpoints = new ArrayList<>();
        wire.getEndpoints().forEach(endpoint -> endpoints.add(read(endpoint, withoutEndpoints)));
        return Members.withEndpoints(withoutEndpoints, endpoints, withoutEndpoints.sequence());
    }

    static WireSync write(SyncRequest request) {
        WireSync wire = new WireSync(request.viewHash(), request.whole());
        if (!request.gossip().isEmpty()) {
            wire.setGossip(write(request.gossip()));
        }
        if (!request.buckets().isEmpty()) {
            wire.setBuckets(List.copyOf(request.buckets()));
            List<WireMemberVersion> versions = new ArrayList<>();
            request.versions().forEach((node, version) -> versions.add(write(node, version)));
            wire.setVersions(versions);
        }
        return wire;
    }

    static SyncRequest read(WireSync wire) {
        Set<Integer> buckets = new HashSet<>();
        Map<NodeId, MemberVersion> versions = new HashMap<>();
        if (wire.isSetBuckets()) {
            buckets.addAll(wire.getBuckets());
        }
        if (wire.isSetVersions()) {
            for (WireMemberVersion version : wire.getVersions()) {
                versions.put(NodeId.fromString(version.getNode()), read(version));
            }
        }
        return new SyncRequest(
                wire.getViewHash(), read(wire.getGossip()), wire.isWhole(), buckets, versions);
    }

    static WireSyncReply write(SyncReply reply) {
        WireSyncReply wire = new WireSyncReply(reply.same());
        if (!reply.gossip().isEmpty()) {
            wire.setGossip(write(reply.gossip()));
        }
        if (!reply.bucketHashes().isEmpty()) {
            wire.setBucketHashes(reply.bucketHashes());
        }
        if (!reply.wanted().isEmpty()) {
            wire.setWanted(reply.wanted().stream().map(NodeId::name).toList());
        }
        return wire;
    }

    static SyncReply read(WireSyncReply wire) {
        List<NodeId> wanted = new ArrayList<>();
        if (wire.isSetWanted()) {
            wire.getWanted().forEach(node -> wanted.add(NodeId.fromString(node)));
        }
        return new SyncReply(
                wire.isSame(),
                read(wire.getGossip()),
                wire.isSetBucketHashes() ? wire.getBucketHashes() : List.of(),
                wanted);
    }

    static WireAddress write(NetAddress address) {
        return new WireAddress(address.host(), address.port());
    }

    static NetAddress read(WireAddress wire) {
        return new NetAddress(wire.getHost(), wire.getPort());
    }

    private static WireMemberVersion write(NodeId node, MemberVersion version) {
        return new WireMemberVersion(
                node.name(), version.incarnation(), version.sequence(), version.state().ordinal());
    }

    private static MemberVersion read(WireMemberVersion wire) {
        return new MemberVersion(
                wire.getIncarnation(),
                wire.getSequence(),
                enumConstant(MemberState.values(), wire.getState()));
    }

    private static WireEndpoint write(Endpoint endpoint) {
        return new WireEndpoint(
                endpoint.firm().name(),
                endpoint.service().name(),
                endpoint.state().ordinal(),
                endpoint.slots(),
                endpoint.readySinceMillis());
    }

    private static Endpoint read(WireEndpoint wire, Member member) {
        return new Endpoint(
                FirmId.fromString(wire.getFirm()),
                ServiceId.fromString(wire.getServiceName()),
                member.node(),
                member.incarnation(),
                member.dataCentre(),
                member.region(),
                member.calls(),
                enumConstant(BackendState.values(), wire.getState()),
                wire.getSlots(),
                wire.getReadySinceMillis());
    }

    private static WireBoardEntry write(Board.Entry entry) {
        return new WireBoardEntry(
                entry.kind(), entry.key(), entry.value(), entry.expiresAtMillis());
    }

    private static Board.Entry read(WireBoardEntry wire) {
        return new Board.Entry(
                wire.getKind(), wire.getKey(), wire.getValue(), wire.getExpiresAtMillis());
    }

    private static <T> T enumConstant(T[] constants, int index) {
        if (index < 0 || index >= constants.length) {
            throw new AzurearchException(ErrorCode.CORRUPT, "unknown enum ordinal: " + index);
        }
        return constants[index];
    }
}
