package org.azurearch.kernel;

import java.util.Set;

/**
 * A part of the node that registers itself: the kernel finds it through the service file {@code
 * META-INF/services/org.azurearch.kernel.Plugin}.
 */
public interface Plugin {
    /** Returns the name, unique in the process. */
    String name();

    /** Returns the names of the plug-ins that must have started before this one. */
    default Set<String> requires() {
        return Set.of();
    }

    /**
     * Starts the plug-in: takes the services it needs from the kernel and registers its own.
     *
     * @param kernel the kernel
     */
    void start(Kernel kernel);

    /** Stops the plug-in; called in the reverse order of start, also after a partial start. */
    void stop();
}
