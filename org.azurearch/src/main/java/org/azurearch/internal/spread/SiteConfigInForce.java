package org.azurearch.internal.spread;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.azurearch.config.ConfigInForce;
import org.azurearch.config.MeshConfig;
import org.azurearch.fold.FoldState;
import org.azurearch.lib.SiteId;
import org.jspecify.annotations.Nullable;

/** The configuration in force at this node's site; thread-safe. */
final class SiteConfigInForce implements ConfigInForce {
    private final SiteId mSite;
    private final List<Consumer<MeshConfig>> mListeners = new CopyOnWriteArrayList<>();
    private volatile @Nullable MeshConfig mCurrent;

    SiteConfigInForce(SiteId site) {
        mSite = site;
    }

    @Override
    public @Nullable MeshConfig current() {
        return mCurrent;
    }

    @Override
    public void addListener(Consumer<MeshConfig> listener) {
        mListeners.add(listener);
    }

    /** Puts a state in force; a state without an accepted version is ignored. */
    void install(FoldState state) {
        MeshConfig config = state.configAt(mSite);
        if (config.firms().isEmpty()) {
            return;
        }
        mCurrent = config;
        mListeners.forEach(listener -> listener.accept(config));
    }
}
