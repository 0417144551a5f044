package org.azurearch.node.admin;

import java.util.Optional;
import org.azurearch.lib.NetAddress;
import org.azurearch.settings.SettingsSection;

/**
 * Section {@code admin} of the settings.
 *
 * @param listen the address that the administration API listens on
 * @param advertise the IP address at which other VMs reach it
 * @param keyStore the path of a PKCS #12 file with certificate and key; enables TLS
 * @param keyStorePassword the password of the key store
 */
public record AdminSettings(
        NetAddress listen,
        String advertise,
        Optional<String> keyStore,
        Optional<String> keyStorePassword) {
    private static final String DEFAULT_LISTEN = "127.0.0.1:0";

    /** Reads the section. */
    public static AdminSettings from(SettingsSection root) {
        SettingsSection admin = root.section("admin");
        NetAddress listen = NetAddress.fromString(admin.string("listen", DEFAULT_LISTEN));
        SettingsSection tls = admin.section("tls");
        return new AdminSettings(
                listen,
                admin.string("advertise", listen.host()),
                tls.optionalString("keyStore"),
                tls.optionalString("password"));
    }
}
