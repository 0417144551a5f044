package org.azurearch.kernel;

import java.util.Set;

/**
 * A component of the node, which the kernel finds through the service file {@code
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
     * Starts the plug-in: looks up the services it needs in the kernel and registers its own.
     *
     * @param kernel the kernel
     */
    void start(Kernel kernel);

    /** Stops the plug-in; called in reverse start order, also if {@link #start} failed. */
    void stop();
}
