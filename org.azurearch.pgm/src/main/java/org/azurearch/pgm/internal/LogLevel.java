package org.azurearch.pgm.internal;

import org.azurearch.settings.SettingsSection;

/** Sets the lowest level that is logged; must be called before the first event. */
public final class LogLevel {
    private static final String PROPERTY = "tinylog.level";
    private static final String DEFAULT = "info";

    private LogLevel() {}

    /** Applies {@code logging.level} of the settings. */
    public static void apply(SettingsSection settings) {
        System.setProperty(PROPERTY, settings.section("logging").string("level", DEFAULT));
    }
}
