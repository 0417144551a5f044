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
import org.jspecify.annotations.Nullable;

/**
 * Distributes configurations between nodes. A new one is sent down the push trees of the data
 * centre as a patch on the previous version; a node that lacks that version pulls what it is
 * missing. Confined to one event loop.
 */
final class ConfigExchange {
    /**
     * Number of readers in a data centre; with two, one may be cut off without delaying changes.
     */
    static final int READERS = 2;

    /**
     * Fraction of the time limit of a configuration after which a version seen at a peer is pulled.
     * Until then the readers of this data centre have usually delivered it, which saves traffic
     * between data centres.
     */
    private static final double PULL_DELAY_FRACTION = 0.15;

    /** Pull delay after the start, when a node reads the store itself in about ten milliseconds. */
    private static final long INITIAL_PULL_DELAY_MILLIS = 250;

    /** Wait before a pull is repeated, within which the reply to the first usually arrives. */
    static final long MIN_PULL_DELAY_NANOS = 100_000_000L;

    /** Pull delays after a change within which it is repeated on links that come up. */
    private static final long REPEAT_DELAYS = 8;

    private static final int MAX_REPEATED_BYTES = 1_024;

    /** Value of the base version if a frame holds a whole configuration. */
    private static final long NO_BASE = -1;

    private final EventLoop mLoop;
    private final ConfigHolder mConfigs;
    private final NodeDirectory mDirectory;
    private final long mPullDelayMillis;
    private long mPendingPullVersion = -1;
    private long mReplacedVersion = -1;

    /** The frame with the change from the replaced version; null until it is needed. */
    private @Nullable HopFrame mChange;

    /**
     * Creates an exchange.
     *
     * @param loop the event loop of the node
     * @param configs the configuration in force
     * @param directory the known nodes
     * @param configApplyMillis the time limit within which a configuration has to be in force
     */
    ConfigExchange(
            EventLoop loop, ConfigHolder configs, NodeDirectory directory, long configApplyMillis) {
        mLoop = loop;
        mConfigs = configs;
        mDirectory = directory;
        mPullDelayMillis = (long) (configApplyMillis * PULL_DELAY_FRACTION);
    }

    /** Installs and pushes a configuration read from the store; returns whether it is new. */
    boolean installFromStore(byte[] content) {
        return install(content, ConfigHolder.STORE);
    }

    /** Installs and pushes a configuration that a peer sent. */
    void received(HopConnection connection, WireConfigContent config) {
        if (config.getVersion() <= mConfigs.version()) {
            return;
        }
        mConfigs.announced(config.getVersion());
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
        if (!install(content, "node")) {
            mConfigs.undecodable(config.getVersion());
        }
    }

    /** Answers a pull if this node has a higher version. */
    void answerPull(HopConnection connection, WireConfigWanted wanted) {
        if (mConfigs.version() > wanted.getAbove()) {
            connection.send(frame(wanted.getAbove()));
        }
    }

    /**
     * Sends the configuration in force to a peer with an older one that has missed its push, if a
     * patch will do. While the push may be under way, the peer is only told of the version.
     *
     * @param version the version of the peer; negative if it has none
     */
    void sendMissed(HopConnection connection, long version) {
        boolean missed =
                version >= 0
                        && version < mConfigs.version()
                        && mConfigs.heldFor(TimeUnit.MILLISECONDS.toNanos(mPullDelayMillis));
        if (missed && mConfigs.recentContent(version) != null) {
            connection.send(frame(version));
        }
    }

    /**
     * Sends the last change to a peer whose link has come up, as its push may have been lost with
     * the link. Large changes are left to anti-entropy.
     */
    void repeatChange(HopLink link) {
        boolean recent =
                mReplacedVersion >= 0
                        && !mConfigs.heldFor(
                                TimeUnit.MILLISECONDS.toNanos(mPullDelayMillis * REPEAT_DELAYS));
        if (!recent) {
            return;
        }
        if (mChange == null) {
            mChange = frame(mReplacedVersion);
        }
        if (mChange.getConfig().patch.remaining() <= MAX_REPEATED_BYTES) {
            link.send(mChange);
        }
    }

    /**
     * Pulls a version that a peer holds, unless it arrives within the pull delay, which begins when
     * this node first knows of a version that it lacks.
     */
    void schedulePull(HopConnection connection, long version) {
        mConfigs.announced(version);
        if (version <= Math.max(mPendingPullVersion, mConfigs.version())) {
            return;
        }
        mPendingPullVersion = version;
        long delayMillis =
                mConfigs.current() == null ? INITIAL_PULL_DELAY_MILLIS : mPullDelayMillis;
        mLoop.schedule(
                () -> {
                    mPendingPullVersion = -1;
                    if (mConfigs.version() < version) {
                        pull(connection, mConfigs.version());
                        pullFromReaders();
                    }
                },
                mConfigs.pullDelayNanos(
                        TimeUnit.MILLISECONDS.toNanos(delayMillis), MIN_PULL_DELAY_NANOS),
                TimeUnit.NANOSECONDS);
    }

    private boolean install(byte[] content, String source) {
        long before = mConfigs.version();
        if (!mConfigs.install(content, source)) {
            return false;
        }
        mReplacedVersion = before;
        mChange = null;
        List<HopLink> children = mDirectory.children(READERS);
        if (!children.isEmpty()) {
            HopFrame frame = frame(before);
            mChange = frame;
            children.forEach(link -> link.send(frame));
        }
        return true;
    }

    /**
     * Asks the readers as well: a connection on which a peer announced the version may carry large
     * answers, behind which the request waits, and links to readers carry requests only.
     */
    private void pullFromReaders() {
        HopFrame wanted = HopFrame.configWanted(new WireConfigWanted(mConfigs.version()));
        mDirectory.readerLinks(READERS).forEach(link -> link.send(wanted));
    }

    private static void pull(HopConnection connection, long above) {
        connection.send(HopFrame.configWanted(new WireConfigWanted(above)));
    }

    /**
     * Returns a frame with the configuration in force, as a patch on the base if this node still
     * has it.
     */
    private HopFrame frame(long base) {
        byte[] old = mConfigs.recentContent(base);
        byte[] patch = ContentPatch.between(old == null ? new byte[0] : old, mConfigs.content());
        return HopFrame.config(
                new WireConfigContent(
                        mConfigs.version(), old == null ? NO_BASE : base, ByteBuffer.wrap(patch)));
    }
}
