package org.azurearch.internal.call;

import java.time.Duration;
import org.azurearch.settings.SettingsSection;

/**
 * Settings of claims through the log.
 *
 * @param lifetime how long a claim is valid; must be equal on all nodes and shorter than the log's
 *     retention
 * @param appendInterval the shortest time between two appends of this node
 * @param timeout the longest time that a request waits for its claim
 */
record ClaimSettings(Duration lifetime, Duration appendInterval, Duration timeout) {
    private static final Duration DEFAULT_LIFETIME = Duration.ofMinutes(10);
    private static final Duration DEFAULT_APPEND_INTERVAL = Duration.ofMillis(100);
    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(2);

    /** Reads the section {@code calls.claims}. */
    static ClaimSettings from(SettingsSection root) {
        SettingsSection section = root.section("calls").section("claims");
        return new ClaimSettings(
                section.duration("lifetime", DEFAULT_LIFETIME),
                section.duration("appendInterval", DEFAULT_APPEND_INTERVAL),
                section.duration("timeout", DEFAULT_TIMEOUT));
    }
}
