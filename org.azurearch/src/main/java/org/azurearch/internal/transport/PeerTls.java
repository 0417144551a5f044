package org.azurearch.internal.transport;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import javax.net.ssl.SSLException;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;

/** Creates TLS contexts that require a certificate of the trusted authority on both sides. */
final class PeerTls {
    private PeerTls() {}

    /** Creates the context of the server, which requires a client certificate. */
    static SslContext serverContext(PeerTlsSettings settings) {
        return build(
                SslContextBuilder.forServer(
                                settings.certificate().toFile(), settings.key().toFile())
                        .clientAuth(ClientAuth.REQUIRE),
                settings);
    }

    /**
     * Creates the context of the client. It verifies the certificate of the server but not the host
     * name, because peers are addressed by IP address.
     */
    static SslContext clientContext(PeerTlsSettings settings) {
        return build(
                SslContextBuilder.forClient()
                        .keyManager(settings.certificate().toFile(), settings.key().toFile())
                        .endpointIdentificationAlgorithm(null),
                settings);
    }

    private static SslContext build(SslContextBuilder builder, PeerTlsSettings settings) {
        try {
            return builder.trustManager(settings.trust().toFile()).build();
        } catch (SSLException | IllegalArgumentException e) {
            throw new AzurearchException(ErrorCode.INVALID, "cannot set up TLS for peers", e);
        }
    }
}
