package org.azurearch.sidecar.internal.mesh;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.azurearch.events.EventLog;
import org.azurearch.sidecar.SidecarEvent;
import org.azurearch.sidecar.internal.hop.HopLink;
import org.azurearch.thrift.HopFrame;
import org.azurearch.thrift.WirePulse;

/**
 * Keeps the lease of the configuration in force: asks the readers of the data centre which version
 * they have, and as of when it was known to be the newest. Confined to one event loop.
 */
final class LeaseRenewal {
    /** Shortest time between two requests to confirm the version in force: 200 ms. */
    private static final long MIN_ASK_NANOS = 200_000_000L;

    private final ConfigHolder mConfigs;
    private final NodeDirectory mDirectory;
    private int mNextReader;
    private long mAskedNanos;
    private boolean mValid;

    LeaseRenewal(ConfigHolder configs, NodeDirectory directory) {
        mConfigs = configs;
        mDirectory = directory;
    }

    /**
     * Asks for a confirmation if that is due. A reader whose data centre cannot reach the store
     * confirms what it has, unless it has heard of more.
     *
     * @param isReader whether this node reads the store for its data centre
     * @param storeLost whether the store is out of reach for its data centre
     */
    void tick(boolean isReader, boolean storeLost, long nowNanos) {
        ConfigLease lease = mConfigs.lease();
        boolean cutOff = isReader && storeLost && lease.peersSilent(nowNanos);
        if (cutOff && mConfigs.current() != null && !mConfigs.awaitsNewer()) {
            lease.confirmed(nowNanos, "store-silence");
        }
        logLease(nowNanos);
        boolean askedLately = nowNanos - mAskedNanos < MIN_ASK_NANOS;
        if (!askedLately && lease.renewalDue(nowNanos)) {
            List<HopLink> peers = mDirectory.readerLinks(ConfigExchange.READERS);
            if (isReader) {
                peers.addAll(mDirectory.remoteRelays());
            }
            ask(peers);
        }
    }

    /** Asks one of the readers, in turn. */
    void askNextReader() {
        List<HopLink> readers = mDirectory.readerLinks(ConfigExchange.READERS);
        if (!readers.isEmpty()) {
            ask(List.of(readers.get(mNextReader++ % readers.size())));
        }
    }

    private void ask(List<HopLink> peers) {
        mAskedNanos = System.nanoTime();
        HopFrame frame = HopFrame.pulse(versionPulse(false));
        peers.forEach(link -> link.ask(frame));
    }

    /**
     * Renews the lease by a reply; a peer of an earlier release tells no times.
     *
     * @param peer identifies the peer, for the log
     */
    void replied(WirePulse reply, String peer) {
        long now = System.nanoTime();
        if (!reply.isSetAgeMillis()) {
            mConfigs.confirmed(reply.getConfigVersion(), now, peer);
        } else if (reply.isSetAskedNanos() && reply.getAgeMillis() >= 0) {
            long askedNanos = now - Math.max(0, now - reply.getAskedNanos());
            long ageNanos = TimeUnit.MILLISECONDS.toNanos(reply.getAgeMillis());
            mConfigs.confirmed(reply.getConfigVersion(), askedNanos - ageNanos, peer);
        }
    }

    /** Returns a pulse with the version in force and its age; a request also has its time. */
    WirePulse versionPulse(boolean reply) {
        long now = System.nanoTime();
        WirePulse pulse =
                new WirePulse(
                        mConfigs.version(),
                        mDirectory.table().digest(),
                        reply,
                        mDirectory.table().records().size());
        long ageMillis = TimeUnit.NANOSECONDS.toMillis(mConfigs.lease().ageNanos(now));
        pulse.setAgeMillis(ageMillis > Integer.MAX_VALUE ? -1 : (int) ageMillis);
        return reply ? pulse : pulse.setAskedNanos(now);
    }

    private void logLease(long nowNanos) {
        boolean valid = !mConfigs.expired(nowNanos);
        if (valid != mValid) {
            mValid = valid;
            long ageMillis = TimeUnit.NANOSECONDS.toMillis(mConfigs.lease().ageNanos(nowNanos));
            int links = mDirectory.linksUp().size();
            EventLog.log(SidecarEvent.CONFIG_LEASE, valid, mConfigs.version(), ageMillis, links);
            mConfigs.logConfirmed("none", nowNanos);
        }
    }
}
