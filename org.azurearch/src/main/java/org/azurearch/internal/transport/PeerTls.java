package org.azurearch.internal.transport;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import javax.net.ssl.SSLException;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;

/** TLS contexts in which both sides show a certificate of the trusted authority. */
final class PeerTls {
    private PeerTls() {}

    static SslContext serverContext(PeerTlsSettings settings) {
        return build(
                SslContextBuilder.forServer(
                                settings.certificate().toFile(), settings.key().toFile())
                        .clientAuth(ClientAuth.REQUIRE),
                settings);
    }

    /** The certificate of the other side is checked, its host name is not: peers are IP numbers. */
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
