package org.azurearch.standin.bench.experiments;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.NetAddress;
import org.azurearch.lib.ServiceId;
import org.azurearch.lib.SiteId;
import org.azurearch.member.Announcement;
import org.azurearch.member.BackendState;
import org.azurearch.member.Endpoint;
import org.azurearch.member.EndpointView;
import org.azurearch.member.LocalBackend;
import org.azurearch.standin.backend.AnnouncementTarget;
import org.azurearch.standin.backend.BackendOptions;
import org.azurearch.standin.backend.BackendServer;
import org.azurearch.standin.backend.RunCounter;
import org.azurearch.standin.bench.mesh.BenchMesh;
import org.azurearch.standin.bench.mesh.MeshNode;
import org.azurearch.standin.bench.mesh.MeshPlan;
import org.azurearch.standin.bench.mesh.SampleDocuments;
import org.azurearch.standin.log.LogServerOptions;

/** A mesh of an entry node without a backend server and one destination node for each backend. */
final class CallsFixture implements AutoCloseable {
    private static final NetAddress LOOPBACK_ANY_PORT = new NetAddress("127.0.0.1", 0);
    private static final FirmId FIRM = FirmId.fromString("bench");
    private static final ServiceId SERVICE = ServiceId.fromString(SampleDocuments.serviceName(0));
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(30);
    private static final String POLICY = "convergence";

    private final RunCounter mRuns = new RunCounter();
    private final List<BackendServer> mBackends = new ArrayList<>();
    private final BenchMesh mMesh;

    /**
     * Starts the nodes and backend servers and publishes the first version. The backend servers are
     * not announced yet.
     *
     * @param options the options of each backend server
     * @param slots slots of a backend server in the published documents
     * @param callSettings additional settings of the section {@code calls} of every node
     */
    CallsFixture(List<BackendOptions> options, int slots, Map<String, Object> callSettings) {
        mMesh =
                new BenchMesh(
                        new MeshPlan(
                                options.size() + 1,
                                1,
                                1,
                                POLICY,
                                LogServerOptions.DEFAULT,
                                Map.of("calls", callSettings)));
        SampleDocuments documents =
                new SampleDocuments(FIRM, 1, slots, List.of(SiteId.fromString("dc0")));
        new Publisher(mMesh, documents).publishFirst();
        for (BackendOptions option : options) {
            mBackends.add(BackendServer.start(LOOPBACK_ANY_PORT, option, mRuns));
        }
    }

    /** Announces every backend server to its node at its own address. */
    CallsFixture announceBackends() {
        for (int index = 0; index < mBackends.size(); index++) {
            announceBackend(index, mBackends.get(index).address());
        }
        return this;
    }

    /** Announces a backend server to its node at an address, such as that of a proxy. */
    void announceBackend(int index, NetAddress address) {
        LocalBackend local = destinationNode(index).backend();
        mBackends.get(index).announceTo(new LocalAnnouncementTarget(local, address), FIRM, SERVICE);
    }

    /** Waits until the entry node sees every backend server as ready. */
    void awaitReady() {
        BenchMesh.await(
                "every backend server is ready",
                READY_TIMEOUT,
                () -> readyBackends() == mBackends.size());
    }

    /** Returns how many backend servers the entry node sees as ready. */
    long readyBackends() {
        return countReady(entryNode().kernel().service(EndpointView.class));
    }

    MeshNode entryNode() {
        return mMesh.nodes().get(0);
    }

    /** Returns the node of a backend server. */
    MeshNode destinationNode(int backend) {
        return mMesh.nodes().get(backend + 1);
    }

    BackendServer backend(int index) {
        return mBackends.get(index);
    }

    List<NetAddress> backendAddresses() {
        return mBackends.stream().map(BackendServer::address).toList();
    }

    RunCounter runs() {
        return mRuns;
    }

    @Override
    public void close() {
        mBackends.forEach(BackendServer::close);
        mMesh.close();
    }

    private static long countReady(EndpointView view) {
        long ready = 0;
        for (Endpoint endpoint : view.endpoints(FIRM, SERVICE)) {
            if (endpoint.state() == BackendState.READY) {
                ready++;
            }
        }
        return ready;
    }

    /** Announces to a node in this process, with the address replaced by a given one. */
    private record LocalAnnouncementTarget(LocalBackend local, NetAddress address)
            implements AnnouncementTarget {
        @Override
        public void announce(Announcement announcement) {
            local.announce(
                    new Announcement(
                            announcement.firm(),
                            announcement.service(),
                            address,
                            announcement.state(),
                            announcement.slots(),
                            announcement.lease()));
        }

        @Override
        public void withdraw() {
            local.withdraw();
        }
    }
}
