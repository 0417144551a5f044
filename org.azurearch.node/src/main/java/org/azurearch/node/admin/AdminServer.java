package org.azurearch.node.admin;

import com.codahale.metrics.MetricRegistry;
import io.micronaut.context.ApplicationContext;
import io.micronaut.runtime.server.EmbeddedServer;
import java.util.HashMap;
import java.util.Map;
import org.azurearch.call.CrashContainment;
import org.azurearch.config.ConfigInForce;
import org.azurearch.kernel.Kernel;
import org.azurearch.lib.NetAddress;
import org.azurearch.member.EndpointView;
import org.azurearch.member.LocalBackend;
import org.azurearch.member.MemberView;
import org.azurearch.spread.ChangeService;
import org.azurearch.time.TimerService;

/** Serves the administration API with Micronaut; its controllers use the services of a kernel. */
public final class AdminServer implements AutoCloseable {
    private static final int RANDOM_PORT = -1;
    private static final String MAX_BODY_SIZE = "8MB";

    private final ApplicationContext mContext;
    private final EmbeddedServer mServer;
    private final AdminSettings mSettings;

    /**
     * Starts the server.
     *
     * @param settings the section {@code admin}
     * @param tokens the accepted tokens
     * @param kernel the kernel with all plug-ins started
     * @param readiness the readiness check of the node
     */
    public AdminServer(
            AdminSettings settings, TokenStore tokens, Kernel kernel, NodeReadiness readiness) {
        mSettings = settings;
        mContext =
                ApplicationContext.builder()
                        .banner(false)
                        .deduceEnvironment(false)
                        .properties(properties(settings))
                        .singletons(
                                tokens,
                                readiness,
                                kernel,
                                kernel.service(ConfigInForce.class),
                                kernel.service(ChangeService.class),
                                kernel.service(MemberView.class),
                                kernel.service(EndpointView.class),
                                kernel.service(LocalBackend.class),
                                kernel.service(CrashContainment.class),
                                kernel.service(TimerService.class),
                                kernel.service(MetricRegistry.class))
                        .build()
                        .start();
        mServer = mContext.getBean(EmbeddedServer.class).start();
    }

    /** Returns the address at which other VMs reach the server. */
    public NetAddress address() {
        return new NetAddress(mSettings.advertise(), mServer.getPort());
    }

    @Override
    public void close() {
        mContext.close();
    }

    private static Map<String, Object> properties(AdminSettings settings) {
        int port = settings.listen().port();
        Map<String, Object> properties = new HashMap<>();
        properties.put("micronaut.server.host", settings.listen().host());
        properties.put("micronaut.server.port", port == 0 ? RANDOM_PORT : port);
        properties.put("micronaut.server.max-request-size", MAX_BODY_SIZE);
        properties.put("jackson.serialization-inclusion", "ALWAYS");
        properties.put("micronaut.server.netty.worker.threads", 2);
        properties.put("netty.default.allocator.max-order", 3);
        settings.keyStore()
                .ifPresent(
                        file -> {
                            properties.put("micronaut.server.ssl.enabled", true);
                            properties.put("micronaut.server.ssl.port", port);
                            properties.put("micronaut.server.ssl.key-store.path", "file:" + file);
                            properties.put("micronaut.server.ssl.key-store.type", "PKCS12");
                            properties.put(
                                    "micronaut.server.ssl.key-store.password",
                                    settings.keyStorePassword().orElse(""));
                        });
        return properties;
    }
}
