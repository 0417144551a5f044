package org.azurearch.sidecar.internal.mesh;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.azurearch.events.EventLog;
import org.azurearch.sidecar.SidecarEvent;
import org.azurearch.sidecar.config.ConfigCodec;
import org.azurearch.sidecar.config.RoutingConfig;
import org.jspecify.annotations.Nullable;

/** The configuration in force; a higher version replaces a lower one, never the reverse. */
public final class ConfigKeeper {
    private final ConfigCodec mCodec;

    /** Older contents held, for differences: a quick series of changes brings some ten a second. */
    private static final int MAX_HELD = 4;

    private final NavigableMap<Long, byte[]> mHeld = new TreeMap<>();
    private final List<Consumer<RoutingConfig>> mSubscribers = new ArrayList<>();
    private @Nullable RoutingConfig mCurrent;

    /**
     * Creates a keeper without a configuration.
     *
     * @param codec reads configurations
     */
    public ConfigKeeper(ConfigCodec codec) {
        mCodec = codec;
    }

    /** Returns the configuration in force, or null. */
    public @Nullable RoutingConfig current() {
        return mCurrent;
    }

    /** Returns the version in force, or -1. */
    public long version() {
        return mCurrent == null ? -1 : mCurrent.version();
    }

    /** Returns the configuration in force as the platform keeps it; empty before the first. */
    public byte[] content() {
        byte[] content = held(version());
        return content == null ? new byte[0] : content;
    }

    /** Returns the content of a version if it is one of the last, or null. */
    public byte @Nullable [] held(long version) {
        return mHeld.get(version);
    }

    /** Tells a subscriber of each configuration that comes into force. */
    public void subscribe(Consumer<RoutingConfig> subscriber) {
        mSubscribers.add(subscriber);
    }

    /**
     * Puts a configuration in force unless it is not newer or cannot be read.
     *
     * @param content the configuration as the platform keeps it
     * @param source where it comes from
     * @return whether it came into force
     */
    public boolean install(byte[] content, String source) {
        RoutingConfig routes;
        try {
            routes = mCodec.decode(content);
        } catch (RuntimeException e) {
            EventLog.log(SidecarEvent.CONFIG_UNREADABLE, source, e.toString());
            return false;
        }
        long before = version();
        if (routes.version() <= before) {
            return false;
        }
        mCurrent = routes;
        mHeld.put(routes.version(), content);
        if (mHeld.size() > MAX_HELD) {
            mHeld.pollFirstEntry();
        }
        EventLog.log(
                SidecarEvent.CONFIG_IN_FORCE,
                routes.version(),
                before,
                routes.routeCount(),
                source);
        mSubscribers.forEach(subscriber -> subscriber.accept(routes));
        return true;
    }
}
