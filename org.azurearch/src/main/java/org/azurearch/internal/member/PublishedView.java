package org.azurearch.internal.member;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.azurearch.lib.DataCentreId;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.NodeId;
import org.azurearch.lib.ServiceId;
import org.azurearch.member.Endpoint;
import org.azurearch.member.EndpointView;
import org.azurearch.member.Member;
import org.azurearch.member.MemberView;

/** The current view of the mesh, which any thread reads without a lock. */
final class PublishedView implements MemberView {
    private final List<Runnable> mListeners = new CopyOnWriteArrayList<>();
    private final EndpointView mEndpoints = new Endpoints();
    private volatile MeshView mView;

    PublishedView(MeshView first) {
        mView = first;
    }

    /** Returns the current view. */
    MeshView view() {
        return mView;
    }

    /** Returns the endpoints of the current view. */
    EndpointView endpoints() {
        return mEndpoints;
    }

    /** Replaces the current view and notifies the listeners. */
    void publish(MeshView view) {
        mView = view;
        mListeners.forEach(Runnable::run);
    }

    @Override
    public Member self() {
        return mView.self();
    }

    @Override
    public List<Member> all() {
        return mView.all();
    }

    @Override
    public List<Member> reachable(DataCentreId dataCentre) {
        return mView.reachable(dataCentre);
    }

    @Override
    public List<DataCentreId> dataCentres() {
        return mView.dataCentres();
    }

    @Override
    public Optional<Member> member(NodeId node) {
        return Optional.ofNullable(mView.member(node));
    }

    @Override
    public void addListener(Runnable listener) {
        mListeners.add(listener);
    }

    private final class Endpoints implements EndpointView {
        @Override
        public List<Endpoint> endpoints(FirmId firm, ServiceId service) {
            return mView.endpoints(firm, service);
        }

        @Override
        public List<Endpoint> all() {
            return mView.allEndpoints();
        }

        @Override
        public long generation() {
            return mView.generation();
        }
    }
}
