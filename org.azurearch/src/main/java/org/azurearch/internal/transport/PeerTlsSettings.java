package org.azurearch.internal.transport;

import java.nio.file.Path;
import java.util.Optional;
import org.azurearch.settings.SettingsSection;

/**
 * The settings section {@code peers.tls}. Both sides of a connection must present a certificate
 * signed by the trusted authority.
 *
 * @param certificate the file with the certificate chain, PEM
 * @param key the file with the private key, PEM, PKCS #8
 * @param trust the file with the certificate of the authority, PEM
 */
public record PeerTlsSettings(Path certificate, Path key, Path trust) {
    /** Reads the section; empty if it is absent. */
    public static Optional<PeerTlsSettings> from(SettingsSection section) {
        if (!section.has("certificate")) {
            return Optional.empty();
        }
        return Optional.of(
                new PeerTlsSettings(
                        Path.of(section.string("certificate")),
                        Path.of(section.string("key")),
                        Path.of(section.string("trust"))));
    }
}
