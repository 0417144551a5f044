package org.azurearch.internal.transport;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.ssl.SslContext;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.kernel.Kernel;
import org.azurearch.kernel.Plugin;
import org.azurearch.settings.NodeIdentity;
import org.azurearch.settings.SettingsSection;
import org.azurearch.time.TimerService;
import org.azurearch.transport.PeerClient;
import org.azurearch.transport.PeerServer;
import org.jspecify.annotations.Nullable;

/** Plug-in that provides {@link PeerServer} and {@link PeerClient}. */
public final class TransportPlugin implements Plugin {
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 2_000L;

    private @Nullable EventLoopGroup mGroup;
    private @Nullable PeerServer mServer;
    private @Nullable PeerClient mClient;

    /** Creates the plug-in; called by the service loader. */
    public TransportPlugin() {}

    @Override
    public String name() {
        return "transport";
    }

    @Override
    public void start(Kernel kernel) {
        PeerSettings settings = PeerSettings.from(kernel.service(SettingsSection.class));
        Sealer sealer = newSealer(settings, kernel.service(NodeIdentity.class).mesh());
        @Nullable SslContext serverTls = settings.tls().map(PeerTls::serverContext).orElse(null);
        @Nullable SslContext clientTls = settings.tls().map(PeerTls::clientContext).orElse(null);
        MetricRegistry metrics = kernel.service(MetricRegistry.class);
        EventLoopGroup group =
                new MultiThreadIoEventLoopGroup(
                        1,
                        new DefaultThreadFactory("azurearch-peer-io", true),
                        NioIoHandler.newFactory());
        mGroup = group;
        PeerServer server = new NettyPeerServer(settings, sealer, serverTls, group, metrics);
        mServer = server;
        PeerClient client =
                new NettyPeerClient(
                        settings.limits(),
                        sealer,
                        clientTls,
                        group,
                        kernel.service(TimerService.class),
                        metrics);
        mClient = client;
        kernel.register(PeerServer.class, server);
        kernel.register(PeerClient.class, client);
    }

    @Override
    public void stop() {
        if (mClient != null) {
            mClient.close();
        }
        if (mServer != null) {
            mServer.close();
        }
        if (mGroup != null) {
            mGroup.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private static Sealer newSealer(PeerSettings settings, String mesh) {
        if (!settings.keys().isEmpty()) {
            return new GcmSealer(mesh, settings.keys());
        }
        if (settings.tls().isPresent()) {
            return new PlaintextSealer();
        }
        throw new AzurearchException(
                ErrorCode.MISSING_KEY, "section peers needs a shared key or a TLS certificate");
    }
}
