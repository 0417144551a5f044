package org.azurearch.kernel;

import com.codahale.metrics.MetricRegistry;
import org.azurearch.settings.NodeIdentity;
import org.azurearch.settings.SettingsSection;
import org.azurearch.time.TimerService;

/** Sets up the kernel of a node. */
public final class NodeKernel {
    private NodeKernel() {}

    /**
     * Creates a kernel that holds the services every plug-in relies on, and starts the installed
     * plug-ins. When one fails to start, those that run are stopped again.
     *
     * @param settings the settings, checked against their schema
     * @param timers the timer service; the caller closes it after the kernel
     */
    public static Kernel start(SettingsSection settings, TimerService timers) {
        Kernel kernel = new Kernel();
        kernel.register(SettingsSection.class, settings);
        kernel.register(NodeIdentity.class, NodeIdentity.from(settings));
        kernel.register(TimerService.class, timers);
        kernel.register(MetricRegistry.class, new MetricRegistry());
        try {
            kernel.startInstalled();
        } catch (RuntimeException e) {
            kernel.close();
            throw e;
        }
        return kernel;
    }
}
