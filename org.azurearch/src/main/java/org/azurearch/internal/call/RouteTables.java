package org.azurearch.internal.call;

import org.azurearch.config.ConfigInForce;
import org.azurearch.config.MeshConfig;
import org.azurearch.route.RouteTable;
import org.jspecify.annotations.Nullable;

/** Holds the compiled routes of the configuration in force. Thread-safe. */
final class RouteTables {
    private volatile @Nullable RouteTable mCurrent;
    private long mOffset = Long.MIN_VALUE;

    /** Compiles the current configuration and each later one. */
    RouteTables(ConfigInForce config) {
        config.addListener(this::install);
        MeshConfig now = config.current();
        if (now != null) {
            install(now);
        }
    }

    /** Returns the routes in force, or null before the first configuration. */
    @Nullable RouteTable current() {
        return mCurrent;
    }

    private synchronized void install(MeshConfig config) {
        if (config.offset() <= mOffset) {
            return;
        }
        mCurrent = RouteTable.compile(config);
        mOffset = config.offset();
    }
}
