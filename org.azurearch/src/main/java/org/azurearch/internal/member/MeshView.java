package org.azurearch.internal.member;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.azurearch.lib.DataCentreId;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.NodeId;
import org.azurearch.lib.ServiceId;
import org.azurearch.member.BackendState;
import org.azurearch.member.Board;
import org.azurearch.member.Endpoint;
import org.azurearch.member.Member;
import org.jspecify.annotations.Nullable;

/** A node's view of the mesh at one point in time; immutable. */
final class MeshView {
    private final long mGeneration;
    private final Member mSelf;
    private final List<Member> mAll;
    private final Map<NodeId, Member> mByNode;
    private final List<DataCentreId> mDataCentres;
    private final Map<DataCentreId, List<Member>> mReachable;
    private final Set<DataCentreId> mSilentDataCentres;
    private final List<Endpoint> mAllEndpoints;
    private final Map<FirmId, Map<ServiceId, List<Endpoint>>> mCallableEndpoints;
    private final Map<String, List<Board.Entry>> mBoard;

    /**
     * Creates a view of the current state.
     *
     * @param mesh the state of the mesh
     * @param previous the previous view, whose unchanged lists are reused; null for the first
     */
    MeshView(MeshState mesh, @Nullable MeshView previous) {
        mGeneration = mesh.generation();
        mSelf = mesh.self();
        mAll = List.copyOf(mesh.table().all());
        mByNode = byNode(mAll);
        mDataCentres = List.copyOf(mesh.table().dataCentres());
        mReachable = reachableOf(mesh.table(), mDataCentres);
        mBoard = byKind(mesh.board().all());
        mSilentDataCentres = silentDataCentres(mSelf.dataCentre(), entries(Relays.SILENT_KIND));
        mAllEndpoints = allEndpointsOf(mAll);
        mCallableEndpoints = callableEndpoints(previous);
    }

    long generation() {
        return mGeneration;
    }

    Member self() {
        return mSelf;
    }

    List<Member> all() {
        return mAll;
    }

    List<DataCentreId> dataCentres() {
        return mDataCentres;
    }

    List<Member> reachable(DataCentreId dataCentre) {
        return mReachable.getOrDefault(dataCentre, List.of());
    }

    @Nullable Member member(NodeId node) {
        return mByNode.get(node);
    }

    List<Endpoint> allEndpoints() {
        return mAllEndpoints;
    }

    List<Endpoint> endpoints(FirmId firm, ServiceId service) {
        Map<ServiceId, List<Endpoint>> ofFirm = mCallableEndpoints.get(firm);
        List<Endpoint> endpoints = ofFirm == null ? null : ofFirm.get(service);
        return endpoints == null ? List.of() : endpoints;
    }

    List<Board.Entry> entries(String kind) {
        return mBoard.getOrDefault(kind, List.of());
    }

    private static Map<NodeId, Member> byNode(List<Member> members) {
        Map<NodeId, Member> byNode = new HashMap<>();
        members.forEach(member -> byNode.put(member.node(), member));
        return byNode;
    }

    private static Map<DataCentreId, List<Member>> reachableOf(
            MemberTable table, List<DataCentreId> dataCentres) {
        Map<DataCentreId, List<Member>> reachable = new HashMap<>();
        dataCentres.forEach(id -> reachable.put(id, List.copyOf(table.reachable(id))));
        return reachable;
    }

    private static Map<String, List<Board.Entry>> byKind(List<Board.Entry> entries) {
        Map<String, List<Board.Entry>> byKind = new HashMap<>();
        for (Board.Entry entry : entries) {
            byKind.computeIfAbsent(entry.kind(), key -> new ArrayList<>()).add(entry);
        }
        byKind.replaceAll((kind, list) -> List.copyOf(list));
        return byKind;
    }

    private static Set<DataCentreId> silentDataCentres(
            DataCentreId own, List<Board.Entry> entries) {
        Set<DataCentreId> silent = new HashSet<>();
        String prefix = own.name() + "/";
        for (Board.Entry entry : entries) {
            if (entry.key().startsWith(prefix) && entry.value().equals(Relays.SILENT)) {
                silent.add(DataCentreId.fromString(entry.key().substring(prefix.length())));
            }
        }
        return silent;
    }

    private static List<Endpoint> allEndpointsOf(List<Member> members) {
        List<Endpoint> endpoints = new ArrayList<>();
        members.forEach(member -> endpoints.addAll(member.endpoints()));
        return List.copyOf(endpoints);
    }

    private Map<FirmId, Map<ServiceId, List<Endpoint>>> callableEndpoints(
            @Nullable MeshView previous) {
        Map<FirmId, Map<ServiceId, List<Endpoint>>> byFirm = new HashMap<>();
        for (Member member : mAll) {
            if (member.takesCalls() && !mSilentDataCentres.contains(member.dataCentre())) {
                member.endpoints().forEach(endpoint -> addPresent(byFirm, endpoint));
            }
        }
        byFirm.forEach(
                (firm, services) ->
                        services.replaceAll(
                                (service, list) -> reuseUnchanged(previous, firm, service, list)));
        return byFirm;
    }

    private static void addPresent(
            Map<FirmId, Map<ServiceId, List<Endpoint>>> byFirm, Endpoint endpoint) {
        if (endpoint.state() != BackendState.ABSENT) {
            byFirm.computeIfAbsent(endpoint.firm(), key -> new HashMap<>())
                    .computeIfAbsent(endpoint.service(), key -> new ArrayList<>())
                    .add(endpoint);
        }
    }

    private static List<Endpoint> reuseUnchanged(
            @Nullable MeshView previous, FirmId firm, ServiceId service, List<Endpoint> current) {
        if (previous != null) {
            List<Endpoint> before = previous.endpoints(firm, service);
            if (before.equals(current)) {
                return before;
            }
        }
        return List.copyOf(current);
    }
}
