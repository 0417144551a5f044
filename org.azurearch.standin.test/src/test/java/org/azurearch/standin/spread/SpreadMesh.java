package org.azurearch.standin.spread;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.azurearch.internal.log.LogPlugin;
import org.azurearch.internal.member.MemberPlugin;
import org.azurearch.internal.spread.SpreadPlugin;
import org.azurearch.internal.transport.TransportPlugin;
import org.azurearch.kernel.Kernel;
import org.azurearch.lib.NetAddress;
import org.azurearch.settings.NodeIdentity;
import org.azurearch.settings.SettingsSection;
import org.azurearch.spread.ChangeService;
import org.azurearch.spread.SpreadStatus;
import org.azurearch.standin.log.LogServer;
import org.azurearch.standin.log.LogServerOptions;
import org.azurearch.time.SystemTimerService;
import org.azurearch.time.TimerService;
import org.azurearch.transport.PeerServer;

/**
 * Nodes with the plug-ins for configuration distribution, and a log stand-in, over real sockets.
 */
final class SpreadMesh implements AutoCloseable {
    private static final String KEY = "00112233445566778899aabbccddeeff".repeat(2);

    final LogServer mLog =
            LogServer.start(new NetAddress("127.0.0.1", 0), LogServerOptions.DEFAULT);
    final List<Node> mNodes = new ArrayList<>();

    /** A node with its own kernel and timers. */
    static final class Node implements AutoCloseable {
        final String mName;
        private final Kernel mKernel = new Kernel();
        private final TimerService mTimers = new SystemTimerService();

        private Node(String name, SettingsSection settings) {
            mName = name;
            mKernel.register(SettingsSection.class, settings);
            mKernel.register(NodeIdentity.class, NodeIdentity.from(settings));
            mKernel.register(TimerService.class, mTimers);
            mKernel.register(MetricRegistry.class, new MetricRegistry());
            mKernel.start(
                    List.of(
                            new LogPlugin(),
                            new TransportPlugin(),
                            new MemberPlugin(),
                            new SpreadPlugin()));
        }

        ChangeService changes() {
            return mKernel.service(ChangeService.class);
        }

        SpreadStatus status() {
            return mKernel.service(SpreadStatus.class);
        }

        String peerAddress() {
            return mKernel.service(PeerServer.class).address().name();
        }

        @Override
        public void close() {
            mKernel.close();
            mTimers.close();
        }
    }

    /** Starts a node with up to three running nodes as its seeds. */
    Node start(String dataCentre, String name) {
        List<String> seeds = mNodes.stream().map(Node::peerAddress).limit(3).toList();
        Map<String, Object> identity =
                Map.of("mesh", "test", "id", name, "dataCentre", dataCentre, "region", "region");
        SettingsSection settings =
                new SettingsSection(
                        "",
                        Map.of(
                                "node",
                                identity,
                                "log",
                                Map.of("address", mLog.address().name()),
                                "peers",
                                Map.of("listen", "127.0.0.1:0", "key", KEY, "seeds", seeds),
                                "members",
                                Map.of("probePeriod", "200ms", "pingTimeout", "80ms")));
        Node node = new Node(name, settings);
        mNodes.add(node);
        return node;
    }

    void stop(Node node) {
        mNodes.remove(node);
        node.close();
    }

    boolean allAtOffset(long offset) {
        return mNodes.stream().allMatch(node -> node.status().position().offset() == offset);
    }

    @Override
    public void close() {
        mNodes.forEach(Node::close);
        mLog.close();
    }
}
