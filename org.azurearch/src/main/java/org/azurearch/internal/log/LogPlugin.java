package org.azurearch.internal.log;

import org.azurearch.kernel.Kernel;
import org.azurearch.kernel.Plugin;
import org.azurearch.log.LogClient;
import org.azurearch.settings.SettingsSection;
import org.jspecify.annotations.Nullable;

/** Registers the {@link LogClient}. */
public final class LogPlugin implements Plugin {
    /** The name of the plug-in. */
    public static final String NAME = "log";

    private @Nullable LogClient mClient;

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start(Kernel kernel) {
        LogSettings settings = LogSettings.from(kernel.service(SettingsSection.class));
        mClient = new HttpLogClient(settings);
        kernel.register(LogClient.class, mClient);
    }

    @Override
    public void stop() {
        if (mClient != null) {
            mClient.close();
        }
    }
}
