package org.azurearch.kernel;

import com.codahale.metrics.MetricRegistry;
import org.azurearch.settings.NodeIdentity;
import org.azurearch.settings.SettingsSection;
import org.azurearch.time.TimerService;

/** Creates and starts the kernel of a node. */
public final class NodeKernel {
    private NodeKernel() {}

    /**
     * Creates a kernel with the services common to all plug-ins, and starts the installed plug-ins.
     * If one fails to start, those already started are stopped.
     *
     * @param settings the settings, already validated against their schema
     * @param timers the timer service; the caller closes it after closing the kernel
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
