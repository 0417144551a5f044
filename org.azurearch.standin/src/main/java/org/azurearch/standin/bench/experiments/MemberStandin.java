package org.azurearch.standin.bench.experiments;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.azurearch.internal.transport.TransportPlugin;
import org.azurearch.kernel.Kernel;
import org.azurearch.lib.NetAddress;
import org.azurearch.settings.NodeIdentity;
import org.azurearch.settings.SettingsSection;
import org.azurearch.standin.bench.mesh.BenchMesh;
import org.azurearch.standin.bench.mesh.SampleDocuments;
import org.azurearch.thrift.PeerReply;
import org.azurearch.thrift.PeerRequest;
import org.azurearch.thrift.WireAddress;
import org.azurearch.thrift.WireEndpoint;
import org.azurearch.thrift.WireGossip;
import org.azurearch.thrift.WireMember;
import org.azurearch.thrift.WirePing;
import org.azurearch.thrift.WirePong;
import org.azurearch.thrift.WirePull;
import org.azurearch.thrift.WirePullReply;
import org.azurearch.thrift.WireSyncReply;
import org.azurearch.time.SystemTimerService;
import org.azurearch.time.TimerService;
import org.azurearch.transport.PeerClient;
import org.azurearch.transport.PeerServer;

/** Simulates any number of members that answer every probe and never change. */
final class MemberStandin implements AutoCloseable {
    private static final int MEMBERS_PER_MESSAGE = 100;
    private static final int READY_STATE = 1;
    private static final int SLOTS = 20;
    private static final int REGIONS = 3;
    private static final Duration SEND_TIMEOUT = Duration.ofSeconds(5);

    private final TimerService mTimers = new SystemTimerService();
    private final Kernel mKernel = new Kernel();
    private final List<WireMember> mMembers = new ArrayList<>();
    private final NetAddress mAddress;

    /**
     * Starts to simulate members in all data centres, each with one ready backend server.
     *
     * @param members number of simulated members
     */
    MemberStandin(int members, int dataCentres, int services) {
        SettingsSection settings = BenchMesh.peerSettings();
        mKernel.register(SettingsSection.class, settings);
        mKernel.register(NodeIdentity.class, NodeIdentity.from(settings));
        mKernel.register(TimerService.class, mTimers);
        mKernel.register(MetricRegistry.class, new MetricRegistry());
        mKernel.start(List.of(new TransportPlugin()));
        PeerServer server = mKernel.service(PeerServer.class);
        server.registerHandler(
                PeerRequest._Fields.PING, request -> PeerReply.pong(new WirePong(true)));
        server.registerHandler(
                PeerRequest._Fields.INDIRECT_PING, request -> PeerReply.pong(new WirePong(true)));
        server.registerHandler(
                PeerRequest._Fields.SYNC, request -> PeerReply.sync(new WireSyncReply(true)));
        server.registerHandler(
                PeerRequest._Fields.PULL, request -> emptyPullReply(request.getPull()));
        mAddress = server.address();
        for (int number = 1; number <= members; number++) {
            mMembers.add(member(number, dataCentres, services));
        }
    }

    /** Sends the records of all members to a node, in pings with gossip. */
    void sendMembersTo(NetAddress node) {
        PeerClient client = mKernel.service(PeerClient.class);
        for (int from = 0; from < mMembers.size(); from += MEMBERS_PER_MESSAGE) {
            int to = Math.min(mMembers.size(), from + MEMBERS_PER_MESSAGE);
            WireGossip gossip =
                    new WireGossip().setMembers(new ArrayList<>(mMembers.subList(from, to)));
            WirePing ping = new WirePing("node0").setGossip(gossip);
            client.send(node, PeerRequest.ping(ping), SEND_TIMEOUT).join();
        }
    }

    @Override
    public void close() {
        mKernel.close();
        mTimers.close();
    }

    private static PeerReply emptyPullReply(WirePull pull) {
        return PeerReply.pull(new WirePullReply(pull.getPosition(), false));
    }

    private WireMember member(int number, int dataCentres, int services) {
        WireAddress address = new WireAddress(mAddress.host(), mAddress.port());
        WireMember member =
                new WireMember(
                        "node" + number,
                        "dc" + number % dataCentres,
                        "region" + number % dataCentres % REGIONS,
                        1,
                        1,
                        0,
                        address,
                        address,
                        address);
        String service = SampleDocuments.serviceName(number % services);
        member.addToEndpoints(new WireEndpoint("bench", service, READY_STATE, SLOTS, 1));
        return member;
    }
}
