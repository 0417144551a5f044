package org.azurearch.internal.log;

import java.time.Duration;
import org.azurearch.lib.NetAddress;
import org.azurearch.settings.SettingsSection;

/**
 * Settings of the section {@code log}.
 *
 * @param address the address of the platform's log
 * @param timeout the longest duration of a call, not counting the requested wait of a read
 */
public record LogSettings(NetAddress address, Duration timeout) {
    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(5);

    /** Reads the section {@code log}. */
    public static LogSettings from(SettingsSection root) {
        SettingsSection section = root.section("log");
        return new LogSettings(
                NetAddress.fromString(section.string("address")),
                section.duration("timeout", DEFAULT_TIMEOUT));
    }
}
