package org.azurearch.internal.call;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.azurearch.call.CallEvent;
import org.azurearch.call.CallServer;
import org.azurearch.call.CrashContainment;
import org.azurearch.config.ConfigInForce;
import org.azurearch.config.MeshConfig;
import org.azurearch.events.EventLog;
import org.azurearch.kernel.Kernel;
import org.azurearch.kernel.Plugin;
import org.azurearch.member.LocalNode;
import org.azurearch.time.TimerService;
import org.jspecify.annotations.Nullable;

/** Plug-in that runs the data path. */
public final class CallPlugin implements Plugin {
    private @Nullable NettyCallServer mServer;
    private Duration mDrainTimeout = Duration.ZERO;

    @Override
    public String name() {
        return "call";
    }

    @Override
    public Set<String> requires() {
        return Set.of("member", "spread");
    }

    @Override
    public void start(Kernel kernel) {
        DataPath path = new DataPath(kernel);
        mDrainTimeout = path.settings().drainTimeout();
        NettyCallServer server = new NettyCallServer(path, kernel.service(TimerService.class));
        mServer = server;
        server.start();
        new WarmUp(server.address(), path.settings().warmUpRounds()).run();
        kernel.register(CallServer.class, server);
        kernel.register(CrashContainment.class, path.crashMonitor());
        advertiseOnceReady(
                kernel.service(ConfigInForce.class), kernel.service(LocalNode.class), server);
    }

    /** Advertises the listener once a configuration is in force, since calls fail until then. */
    private static void advertiseOnceReady(
            ConfigInForce config, LocalNode node, NettyCallServer server) {
        AtomicBoolean advertised = new AtomicBoolean();
        Consumer<@Nullable MeshConfig> advertise =
                current -> {
                    if (current != null && advertised.compareAndSet(false, true)) {
                        node.setCallsAddress(server.address());
                    }
                };
        config.addListener(advertise::accept);
        advertise.accept(config.current());
    }

    @Override
    public void stop() {
        NettyCallServer server = mServer;
        if (server == null) {
            return;
        }
        try {
            server.drain().get(mDrainTimeout.toMillis(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException | ExecutionException e) {
            EventLog.log(CallEvent.DRAIN_INCOMPLETE, server.callsInFlight());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        server.close();
    }
}
