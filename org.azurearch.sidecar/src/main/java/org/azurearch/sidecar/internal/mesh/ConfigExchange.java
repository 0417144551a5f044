package org.azurearch.sidecar.internal.mesh;

import io.netty.channel.EventLoop;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.azurearch.errors.AzurearchException;
import org.azurearch.events.EventLog;
import org.azurearch.sidecar.SidecarEvent;
import org.azurearch.sidecar.config.ContentPatch;
import org.azurearch.sidecar.internal.hop.HopConnection;
import org.azurearch.sidecar.internal.hop.HopLink;
import org.azurearch.thrift.HopFrame;
import org.azurearch.thrift.WireConfigContent;
import org.azurearch.thrift.WireConfigWanted;

/**
 * Passes configurations on between nodes: what is new goes down the trees of the data centre as a
 * difference to the version before; who lacks more asks for it. Confined to one event loop.
 */
final class ConfigExchange {
    /** Nodes of a data centre that read the store; two, so that one may be cut off unnoticed. */
    static final int READERS = 2;

    /**
     * A version that others hold is asked for only after this part of its bound: within it, the
     * readers of this data centre have usually brought it, which costs no bytes between them.
     */
    private static final double PULL_DELAY_FRACTION = 0.3;

    /** A node that has just started reads the store itself, which takes some ten milliseconds. */
    private static final long INITIAL_PULL_DELAY_MILLIS = 250;

    /** The base of a content that is whole. */
    private static final long NO_BASE = -1;

    private final EventLoop mLoop;
    private final ConfigHolder mConfigs;
    private final NodeDirectory mDirectory;
    private final long mPullDelayMillis;
    private long mPendingPullVersion = -1;

    /**
     * Creates an exchange.
     *
     * @param loop the event loop of the node
     * @param configs the configuration in force
     * @param directory the other nodes
     * @param boundMillis within which a configuration has to be in force
     */
    ConfigExchange(
            EventLoop loop, ConfigHolder configs, NodeDirectory directory, long boundMillis) {
        mLoop = loop;
        mConfigs = configs;
        mDirectory = directory;
        mPullDelayMillis = (long) (boundMillis * PULL_DELAY_FRACTION);
    }

    /** Takes a configuration that this node has read from the store; says whether it is new. */
    boolean installFromStore(byte[] content) {
        return install(content, "store");
    }

    /** Takes a configuration that another node sent. */
    void received(HopConnection connection, WireConfigContent config) {
        if (config.getVersion() <= mConfigs.version()) {
            return;
        }
        byte[] base =
                config.getBase() == NO_BASE
                        ? new byte[0]
                        : mConfigs.recentContent(config.getBase());
        if (base == null) {
            pull(connection, mConfigs.version());
            return;
        }
        byte[] content;
        try {
            content = ContentPatch.apply(base, config.getPatch());
        } catch (AzurearchException e) {
            EventLog.log(SidecarEvent.CONFIG_UNREADABLE, "node", e.toString());
            pull(connection, NO_BASE);
            return;
        }
        install(content, "node");
    }

    /** Sends what another node asks for. */
    void answerPull(HopConnection connection, WireConfigWanted wanted) {
        if (mConfigs.version() > wanted.getAbove()) {
            connection.send(frame(wanted.getAbove()));
        }
    }

    /** Asks for a version that another node holds, once it should have come by itself. */
    void schedulePull(HopConnection connection, long version) {
        if (version <= Math.max(mPendingPullVersion, mConfigs.version())) {
            return;
        }
        mPendingPullVersion = version;
        long patience = mConfigs.current() == null ? INITIAL_PULL_DELAY_MILLIS : mPullDelayMillis;
        mLoop.schedule(
                () -> {
                    mPendingPullVersion = -1;
                    if (mConfigs.version() < version) {
                        pull(connection, mConfigs.version());
                    }
                },
                patience,
                TimeUnit.MILLISECONDS);
    }

    private boolean install(byte[] content, String source) {
        long before = mConfigs.version();
        if (!mConfigs.install(content, source)) {
            return false;
        }
        List<HopLink> children = mDirectory.children(READERS);
        if (!children.isEmpty()) {
            HopFrame frame = frame(before);
            children.forEach(link -> link.send(frame));
        }
        return true;
    }

    private static void pull(HopConnection connection, long above) {
        connection.send(HopFrame.configWanted(new WireConfigWanted(above)));
    }

    /** The configuration in force, as a difference to an older version if that is still held. */
    private HopFrame frame(long base) {
        byte[] old = mConfigs.recentContent(base);
        byte[] patch = ContentPatch.between(old == null ? new byte[0] : old, mConfigs.content());
        return HopFrame.config(
                new WireConfigContent(
                        mConfigs.version(), old == null ? NO_BASE : base, ByteBuffer.wrap(patch)));
    }
}
