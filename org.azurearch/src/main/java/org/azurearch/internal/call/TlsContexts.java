package org.azurearch.internal.call;

import io.netty.channel.Channel;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.File;
import javax.net.ssl.SSLException;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.settings.SettingsSection;
import org.jspecify.annotations.Nullable;

/**
 * TLS for the listener for calls and for connections to peers' listeners. Nodes trust the
 * certificates in {@code calls.tls.trust}, by default only their own certificate. The identity of a
 * node is verified by the handshake with the mesh's key, see {@link HopHandshake}, not by host
 * name.
 */
final class TlsContexts {
    private final @Nullable SslContext mServer;
    private final @Nullable SslContext mClient;

    private TlsContexts(@Nullable SslContext server, @Nullable SslContext client) {
        mServer = server;
        mClient = client;
    }

    /**
     * Reads the section {@code calls.tls}; without it, connections are not encrypted.
     *
     * @throws AzurearchException with {@link ErrorCode#INVALID} if a file cannot be used
     */
    static TlsContexts from(SettingsSection root) {
        SettingsSection section = root.section("calls").section("tls");
        if (!section.has("certificate")) {
            return new TlsContexts(null, null);
        }
        File certificate = new File(section.string("certificate"));
        File trust = new File(section.string("trust", certificate.getPath()));
        try {
            SslContext server =
                    SslContextBuilder.forServer(certificate, new File(section.string("key")))
                            .clientAuth(ClientAuth.NONE)
                            .build();
            SslContext client =
                    SslContextBuilder.forClient()
                            .trustManager(trust)
                            .endpointIdentificationAlgorithm(null)
                            .build();
            return new TlsContexts(server, client);
        } catch (SSLException | IllegalArgumentException e) {
            throw new AzurearchException(ErrorCode.INVALID, "calls.tls cannot be used", e);
        }
    }

    /** Adds the TLS handler, if TLS is configured, to an accepted connection. */
    void addServerHandler(Channel channel) {
        if (mServer != null) {
            channel.pipeline().addLast(mServer.newHandler(channel.alloc()));
        }
    }

    /** Adds the TLS handler, if TLS is configured, to an outgoing connection. */
    void addClientHandler(Channel channel) {
        if (mClient != null) {
            channel.pipeline().addLast(mClient.newHandler(channel.alloc()));
        }
    }
}
