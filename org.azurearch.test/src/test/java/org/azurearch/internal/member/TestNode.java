package org.azurearch.internal.member;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.azurearch.internal.transport.TransportPlugin;
import org.azurearch.kernel.Kernel;
import org.azurearch.member.LocalBackend;
import org.azurearch.member.LocalNode;
import org.azurearch.member.MemberView;
import org.azurearch.settings.NodeIdentity;
import org.azurearch.settings.SettingsSection;
import org.azurearch.time.SystemTimerService;
import org.azurearch.time.TimerService;
import org.azurearch.transport.PeerServer;

/** A node with the transport and membership plug-ins, on real sockets. */
final class TestNode implements AutoCloseable {
    static final String KEY = "00112233445566778899aabbccddeeff".repeat(2);

    final Kernel mKernel = new Kernel();
    private final TimerService mTimers = new SystemTimerService();

    TestNode(String id, String dataCentre, List<String> seeds) {
        Map<String, Object> node =
                Map.of("mesh", "test", "id", id, "dataCentre", dataCentre, "region", "region");
        Map<String, Object> peers = new HashMap<>();
        peers.put("listen", "127.0.0.1:0");
        peers.put("key", KEY);
        peers.put("seeds", new ArrayList<>(seeds));
        Map<String, Object> members = Map.of("probePeriod", "200ms", "pingTimeout", "80ms");
        SettingsSection settings =
                new SettingsSection("", Map.of("node", node, "peers", peers, "members", members));
        mKernel.register(SettingsSection.class, settings);
        mKernel.register(NodeIdentity.class, NodeIdentity.from(settings));
        mKernel.register(TimerService.class, mTimers);
        mKernel.register(MetricRegistry.class, new MetricRegistry());
        mKernel.start(List.of(new TransportPlugin(), new MemberPlugin()));
    }

    String address() {
        return mKernel.service(PeerServer.class).address().name();
    }

    MemberView view() {
        return mKernel.service(MemberView.class);
    }

    LocalNode local() {
        return mKernel.service(LocalNode.class);
    }

    LocalBackend backend() {
        return mKernel.service(LocalBackend.class);
    }

    @Override
    public void close() {
        mKernel.close();
        mTimers.close();
    }
}
