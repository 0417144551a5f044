package org.azurearch.internal.member;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.azurearch.config.ConfigInForce;
import org.azurearch.kernel.Kernel;
import org.azurearch.kernel.Plugin;
import org.azurearch.lib.NetAddress;
import org.azurearch.lib.StreamId;
import org.azurearch.log.LogClient;
import org.azurearch.member.Board;
import org.azurearch.member.EndpointView;
import org.azurearch.member.LocalBackend;
import org.azurearch.member.LocalNode;
import org.azurearch.member.Member;
import org.azurearch.member.MemberState;
import org.azurearch.member.MemberView;
import org.azurearch.settings.NodeIdentity;
import org.azurearch.settings.SettingsSection;
import org.azurearch.time.TimerService;
import org.azurearch.transport.PeerClient;
import org.azurearch.transport.PeerServer;
import org.jspecify.annotations.Nullable;

/**
 * Registers {@link MemberView}, {@link EndpointView}, {@link LocalNode}, {@link LocalBackend} and
 * {@link Board}.
 */
public final class MemberPlugin implements Plugin {
    private static final Duration JOIN_RECORD_RENEWAL = Duration.ofHours(6);
    private static final NetAddress UNSET_ADDRESS = new NetAddress("0.0.0.0", 0);

    private @Nullable MemberService mMembers;
    private @Nullable BackendService mBackend;
    private @Nullable JoinRecordService mJoinRecords;

    /** Creates the plug-in; called by the service loader. */
    public MemberPlugin() {}

    @Override
    public String name() {
        return "member";
    }

    @Override
    public Set<String> requires() {
        return Set.of("transport");
    }

    @Override
    public void start(Kernel kernel) {
        SettingsSection settings = kernel.service(SettingsSection.class);
        TimerService timers = kernel.service(TimerService.class);
        PeerServer server = kernel.service(PeerServer.class);
        Moment now = Moment.now(timers.time());
        Member self = selfOf(kernel.service(NodeIdentity.class), settings, server, now);
        MemberCore core =
                new MemberCore(
                        self,
                        seedsOf(settings),
                        MemberPolicy.from(settings),
                        new SplittableRandom(),
                        now);
        MemberService members =
                new MemberService(
                        core,
                        kernel.service(PeerClient.class),
                        timers,
                        kernel.service(MetricRegistry.class));
        mMembers = members;
        members.registerHandlers(server);
        MemberView view = members.memberView();
        BackendService backend =
                new BackendService(
                        timers,
                        () -> kernel.findService(ConfigInForce.class),
                        view::self,
                        members::changeEndpoints);
        mBackend = backend;
        kernel.register(MemberView.class, view);
        kernel.register(EndpointView.class, members.endpointView());
        kernel.register(LocalNode.class, members);
        kernel.register(Board.class, members);
        kernel.register(LocalBackend.class, backend);
        JoinRecordService joinRecords = joinRecordsOf(kernel, members);
        mJoinRecords = joinRecords;
        joinRecords.start();
    }

    private static JoinRecordService joinRecordsOf(Kernel kernel, MemberService members) {
        SettingsSection settings = kernel.service(SettingsSection.class);
        MemberView view = members.memberView();
        Duration renewal =
                settings.section("members").duration("joinRecordRenewal", JOIN_RECORD_RENEWAL);
        return new JoinRecordService(
                new JoinRecordCore(JoinRecord.of(view.self()), renewal, new SplittableRandom()),
                StreamId.fromString(kernel.service(NodeIdentity.class).mesh() + ".nodes"),
                () -> kernel.findService(LogClient.class),
                () -> roleOf(view, MemberPolicy.from(settings)),
                view::self,
                members::addSeeds,
                kernel.service(TimerService.class));
    }

    private static JoinRecordCore.Role roleOf(MemberView view, MemberPolicy policy) {
        Member self = view.self();
        List<Member> local = view.reachable(self.dataCentre());
        if (local.size() <= 1 && view.dataCentres().size() <= 1) {
            return JoinRecordCore.Role.ALONE;
        }
        boolean relay =
                Relays.choose(self.dataCentre(), local, policy.relaysPerDataCentre()).stream()
                        .anyMatch(member -> member.node().equals(self.node()));
        return relay ? JoinRecordCore.Role.RELAY : JoinRecordCore.Role.ORDINARY;
    }

    @Override
    public void stop() {
        if (mJoinRecords != null) {
            mJoinRecords.close();
        }
        if (mBackend != null) {
            mBackend.close();
        }
        if (mMembers != null) {
            mMembers.close();
        }
    }

    /** Uses the start time as the incarnation, so that nothing has to be stored between starts. */
    private static Member selfOf(
            NodeIdentity identity, SettingsSection settings, PeerServer server, Moment now) {
        String host = settings.section("peers").string("advertise", server.address().host());
        NetAddress peer = new NetAddress(host, server.address().port());
        return new Member(
                identity.node(),
                identity.dataCentre(),
                identity.region(),
                now.wallMillis(),
                0,
                MemberState.ALIVE,
                peer,
                UNSET_ADDRESS,
                UNSET_ADDRESS,
                List.of());
    }

    private static List<NetAddress> seedsOf(SettingsSection settings) {
        List<NetAddress> seeds = new ArrayList<>();
        for (String seed : settings.section("peers").strings("seeds")) {
            seeds.add(NetAddress.fromString(seed));
        }
        return seeds;
    }
}
