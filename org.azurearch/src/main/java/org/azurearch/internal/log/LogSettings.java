package org.azurearch.internal.log;

import java.time.Duration;
import org.azurearch.lib.NetAddress;
import org.azurearch.settings.SettingsSection;

/**
 * Settings of the section {@code log}.
 *
 * @param address where the platform's log listens
 * @param timeout the longest that a call may take beyond the wait that a read asks for
 */
public record LogSettings(NetAddress address, Duration timeout) {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    /** Reads the section {@code log}. */
    public static LogSettings from(SettingsSection root) {
        SettingsSection section = root.section("log");
        return new LogSettings(
                NetAddress.fromString(section.string("address")),
                section.duration("timeout", TIMEOUT));
    }
}
