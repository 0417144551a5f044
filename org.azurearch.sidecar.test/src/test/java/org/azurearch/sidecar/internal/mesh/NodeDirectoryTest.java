package org.azurearch.sidecar.internal.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.azurearch.lib.NetAddress;
import org.azurearch.sidecar.CallerLimits;
import org.azurearch.sidecar.FeatureSettings;
import org.azurearch.sidecar.SidecarSettings;
import org.azurearch.sidecar.internal.hop.HopConnection;
import org.azurearch.sidecar.internal.hop.HopLink;
import org.azurearch.sidecar.internal.hop.HopNetwork;
import org.azurearch.sidecar.member.NodeRecord;
import org.azurearch.thrift.HopFrame;
import org.azurearch.thrift.WireBackend;
import org.azurearch.thrift.WireNodeRecord;
import org.azurearch.thrift.WireNodeRecords;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against an odd record from a peer that ends the connection or hides other records. */
class NodeDirectoryTest {
    private static final NetAddress ADDRESS = new NetAddress("127.0.0.1", 1);

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop mLoop = mGroup.next();

    @AfterEach
    void stop() {
        mGroup.shutdownGracefully();
    }

    @Test
    void oddRecordFromPeerHidesNoOther() throws Exception {
        for (WireNodeRecord odd :
                List.of(
                        record("odd").setPort(65_536),
                        record("odd").setPort(-1),
                        record("odd").setHost("not an address"),
                        record("odd").setHost(""),
                        record(""),
                        record("Odd"),
                        record("o".repeat(97)),
                        record("odd").setIncarnation(Long.MAX_VALUE),
                        record("odd").setIncarnation(-1),
                        record("odd").setSequence(Long.MAX_VALUE),
                        record("self").setIncarnation(Long.MAX_VALUE),
                        record("odd").setBackend(new WireBackend("s", "i", 0, true, 0)),
                        record("odd").setBackend(new WireBackend("s", "i", 1, true, -1)),
                        record("odd")
                                .setBackend(
                                        new WireBackend("s", "i", 1, true, 0)
                                                .setLimitPerSecond(Double.NaN)))) {
            WireNodeRecords records =
                    new WireNodeRecords(List.of(record("first"), odd, record("last")), true);
            assertEquals(Set.of("first", "last", "self"), merged(records), odd.toString());
        }
    }

    /** Returns the names of the nodes that a directory knows after it has merged records. */
    private Set<String> merged(WireNodeRecords records) throws Exception {
        return CompletableFuture.supplyAsync(
                        () -> {
                            NodeDirectory directory = directory();
                            directory.merge(records);
                            directory.rank(directory.self(), true);
                            directory.tick(System.nanoTime());
                            directory.close();
                            Set<String> names = new TreeSet<>();
                            directory.table().records().forEach(r -> names.add(r.node()));
                            assertEquals(5, directory.self().incarnation());
                            return names;
                        },
                        mLoop)
                .get();
    }

    private NodeDirectory directory() {
        SidecarSettings settings =
                new SidecarSettings(
                        "self",
                        "a",
                        "s",
                        ADDRESS,
                        ADDRESS,
                        ADDRESS,
                        ADDRESS,
                        ADDRESS,
                        null,
                        ADDRESS,
                        List.of(),
                        1_000,
                        6_000,
                        2_000,
                        new SidecarSettings.RetryBound(0.2, 500, 10_000),
                        CallerLimits.DEFAULT,
                        FeatureSettings.NONE);
        return new NodeDirectory(
                mLoop, new HopNetwork(mLoop), settings, ADDRESS, 5, new IgnoringListener());
    }

    private static WireNodeRecord record(String node) {
        return new WireNodeRecord(node, "a", "127.0.0.1", 1, 1, 0, false, true);
    }

    /** Ignores all events. */
    private static final class IgnoringListener implements NodeDirectory.Listener {
        @Override
        public void received(HopConnection connection, HopFrame frame) {}

        @Override
        public void linkUp(HopLink link) {}

        @Override
        public void earlierRecordFound(NodeRecord earlier) {}
    }
}
