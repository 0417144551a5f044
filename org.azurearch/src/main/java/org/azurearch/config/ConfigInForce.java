package org.azurearch.config;

import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** The configuration in force on this node. Its offset only goes up. */
public interface ConfigInForce {
    /** Returns the configuration in force, or null before the first whole accepted one. */
    @Nullable MeshConfig current();

    /**
     * Adds a listener that is told of each configuration after it came into force.
     *
     * @param listener must be quick; it is called on the thread that installed the configuration
     */
    void addListener(Consumer<MeshConfig> listener);
}
