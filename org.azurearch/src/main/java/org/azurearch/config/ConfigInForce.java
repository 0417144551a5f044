package org.azurearch.config;

import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** The configuration in force on this node. Its offset never decreases. */
public interface ConfigInForce {
    /** Returns the configuration in force, or null before the first one is installed. */
    @Nullable MeshConfig current();

    /**
     * Adds a listener that is called with each new configuration after it came into force.
     *
     * @param listener must return quickly, since it is called on the thread that installed the
     *     configuration
     */
    void addListener(Consumer<MeshConfig> listener);
}
