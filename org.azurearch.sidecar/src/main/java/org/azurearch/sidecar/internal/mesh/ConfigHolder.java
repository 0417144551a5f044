package org.azurearch.sidecar.internal.mesh;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.azurearch.events.EventLog;
import org.azurearch.sidecar.SidecarEvent;
import org.azurearch.sidecar.account.AccountDirectory;
import org.azurearch.sidecar.config.ConfigCodec;
import org.azurearch.sidecar.config.RoutingConfig;
import org.jspecify.annotations.Nullable;

/** Holds the configuration in force, which only a higher version replaces. */
public final class ConfigHolder {
    /** The source of configurations that this node reads itself. */
    static final String STORE = "store";

    private final ConfigCodec mCodec;

    /** Contents kept as the base of patches; a burst of changes brings about ten a second. */
    private static final int MAX_RECENT_CONTENTS = 4;

    /** Time after the announcement of a version from which its arrival is late. */
    private static final long LATE_MILLIS = 500;

    /** Time without word of a version from which the next one may be late. */
    private static final long UNHEARD_MILLIS = 1_500;

    private final NavigableMap<Long, byte[]> mRecentContents = new TreeMap<>();
    private final List<Consumer<RoutingConfig>> mSubscribers = new ArrayList<>();
    private final VersionWatch mVersions = new VersionWatch();
    private final ConfigLease mLease;

    /** The last reply of a peer with a newer version than the one in force. */
    private long mNewerVersion = -1;

    private long mNewerAsOfNanos;
    private String mNewerPeer = "";
    private boolean mCutOff;
    private @Nullable RoutingConfig mCurrent;

    /**
     * Creates a holder without a configuration.
     *
     * @param codec decodes configurations
     * @param applyMillis the time within which an accepted configuration has to be in force
     */
    public ConfigHolder(ConfigCodec codec, long applyMillis) {
        mCodec = codec;
        mLease = new ConfigLease(TimeUnit.MILLISECONDS.toNanos(applyMillis));
    }

    /** Returns the configuration in force, or null before the first. */
    public @Nullable RoutingConfig current() {
        return mCurrent;
    }

    /** Returns the version in force, or -1 before the first. */
    public long version() {
        return mCurrent == null ? -1 : mCurrent.version();
    }

    /** Returns the encoded configuration in force; empty before the first. */
    public byte[] content() {
        byte[] content = recentContent(version());
        return content == null ? new byte[0] : content;
    }

    /** Returns the encoded configuration of a recent version, or null if it is not held. */
    public byte @Nullable [] recentContent(long version) {
        return mRecentContents.get(version);
    }

    /** Records that a peer has told which version it holds. */
    void heard() {
        mVersions.heard(System.nanoTime());
    }

    /** Records that a peer holds a version. */
    void announced(long version) {
        mVersions.announced(version, System.nanoTime());
    }

    /**
     * Returns how long to wait before a newer version is pulled.
     *
     * @param delayNanos wait after this node first knew of a version that it lacks
     * @param intervalNanos shortest wait
     */
    long pullDelayNanos(long delayNanos, long intervalNanos) {
        return mVersions.pullDelayNanos(delayNanos, intervalNanos, System.nanoTime());
    }

    /**
     * Returns whether a peer holds a newer version than the one in force. It is expected until it
     * is in force, turns out to be one that this node cannot decode, or the store does not have it.
     */
    boolean awaitsNewer() {
        return mVersions.awaitsVersion();
    }

    /** Records that a peer has sent a version that this node cannot decode. */
    void undecodable(long version) {
        mVersions.undecodable(version);
    }

    /**
     * Records that the store had no newer version than the one in force at a time, on the steady
     * clock.
     */
    void confirmedByStore(long asOfNanos) {
        mVersions.newestOfStore(asOfNanos);
        mLease.confirmed(asOfNanos, "store-read");
    }

    /** Returns whether the version in force has been held for some time. */
    boolean heldFor(long nanos) {
        return mVersions.heldFor(nanos, System.nanoTime());
    }

    /**
     * Returns whether a newer version than the one in force may have been accepted already.
     *
     * @param nowNanos the time, on the steady clock
     * @param applyNanos the time within which an accepted version is in force at all nodes
     */
    public boolean mayBeOutdated(long nowNanos, long applyNanos) {
        return mVersions.mayBeOutdated(nowNanos, applyNanos);
    }

    /**
     * Returns for how long the configuration in force may be used unless a newer one is accepted.
     */
    ConfigLease lease() {
        return mLease;
    }

    /**
     * Records the reply of a peer that was asked which version it has. A newer one confirms this
     * node's once it is in force here.
     *
     * @param version the version of the peer
     * @param asOfNanos when the peer knew it to be the newest, on the steady clock of this node
     * @param peer identifies the peer, for the log
     */
    void confirmed(long version, long asOfNanos, String peer) {
        if (version > version()) {
            mNewerVersion = version;
            mNewerAsOfNanos = asOfNanos;
            mNewerPeer = peer;
        } else if (version >= 0 && !awaitsNewer()) {
            mLease.confirmedByPeer(asOfNanos, peer);
        }
    }

    /**
     * Sets whether this node's data centre cannot reach the platform's store, so that it goes on
     * with what it has.
     */
    void setCutOff(boolean cutOff) {
        mCutOff = cutOff;
    }

    /**
     * Returns whether the configuration in force has not been confirmed for too long, so that a
     * newer one may be in force elsewhere. Never, if this node's data centre is cut off.
     *
     * @param nowNanos the time, on the steady clock
     */
    public boolean expired(long nowNanos) {
        return mLease.ended(nowNanos) && !mCutOff;
    }

    /** Returns whether it has become so within some time, so that a reply may be under way. */
    public boolean expiredWithin(long nanos, long nowNanos) {
        return expired(nowNanos) && mLease.endedWithin(nanos, nowNanos);
    }

    /** Adds a subscriber, called with each configuration that comes into force. */
    public void subscribe(Consumer<RoutingConfig> subscriber) {
        mSubscribers.add(subscriber);
    }

    /**
     * Puts a configuration in force if it can be decoded and has a higher version.
     *
     * @param content the encoded configuration
     * @param source the origin, for the log
     * @return whether it came into force
     */
    public boolean install(byte[] content, String source) {
        RoutingConfig config;
        try {
            config = mCodec.decode(content);
        } catch (RuntimeException e) {
            EventLog.log(SidecarEvent.CONFIG_UNREADABLE, source, e.toString());
            return false;
        }
        RoutingConfig replaced = mCurrent;
        long before = version();
        if (config.version() <= before) {
            return false;
        }
        if (replaced != null) {
            logConfirmed(Long.toString(config.version()), System.nanoTime());
        }
        mCurrent = config;
        logIfLate(config.version(), source);
        mVersions.installed(config.version(), source.equals(STORE), System.nanoTime());
        if (mNewerVersion >= 0 && mNewerVersion <= config.version()) {
            mLease.confirmedByPeer(mNewerAsOfNanos, mNewerPeer);
            mNewerVersion = -1;
        }
        mRecentContents.put(config.version(), content);
        if (mRecentContents.size() > MAX_RECENT_CONTENTS) {
            mRecentContents.pollFirstEntry();
        }
        EventLog.log(
                SidecarEvent.CONFIG_IN_FORCE,
                config.version(),
                before,
                config.routeCount(),
                source);
        logAccounts(replaced == null ? AccountDirectory.EMPTY : replaced.accountDirectory());
        mSubscribers.forEach(subscriber -> subscriber.accept(config));
        return true;
    }

    /**
     * Tells that peers held the version long before, or may have, as none had told its version
     * lately: calls have begun under an older one.
     */
    private void logIfLate(long version, String source) {
        long now = System.nanoTime();
        long awaitedMillis = TimeUnit.NANOSECONDS.toMillis(mVersions.awaitedNanos(now));
        long unheardMillis = TimeUnit.NANOSECONDS.toMillis(mVersions.unheardNanos(now));
        boolean unheard = !source.equals(STORE) && unheardMillis >= UNHEARD_MILLIS;
        if (unheard || awaitedMillis >= LATE_MILLIS) {
            EventLog.log(SidecarEvent.CONFIG_LATE, version, awaitedMillis, unheardMillis);
        }
    }

    /**
     * Logs what showed last that the version in force was the newest.
     *
     * @param next the version that replaces it, or "none"
     */
    void logConfirmed(String next, long nowNanos) {
        EventLog.log(
                SidecarEvent.CONFIG_CONFIRMED,
                version(),
                mLease.confirmedBy(),
                TimeUnit.NANOSECONDS.toMillis(mLease.ageNanos(nowNanos)),
                next);
    }

    private void logAccounts(AccountDirectory before) {
        RoutingConfig config = mCurrent;
        if (config == null || (before.isEmpty() && config.accountDirectory().isEmpty())) {
            return;
        }
        AccountDirectory now = config.accountDirectory();
        EventLog.log(
                SidecarEvent.ACCOUNTS_IN_FORCE,
                config.version(),
                now.accounts().size(),
                now.keyCount(),
                now.withdrawnKeys(before),
                before.withdrawnKeys(now));
    }
}
