package org.azurearch.internal.spread;

import com.codahale.metrics.MetricRegistry;
import java.util.Set;
import org.azurearch.config.ConfigInForce;
import org.azurearch.fold.FoldLogger;
import org.azurearch.kernel.Kernel;
import org.azurearch.kernel.Plugin;
import org.azurearch.log.LogClient;
import org.azurearch.member.MemberView;
import org.azurearch.settings.NodeIdentity;
import org.azurearch.settings.SettingsSection;
import org.azurearch.spread.ChangeService;
import org.azurearch.spread.SpreadStatus;
import org.azurearch.time.TimerService;
import org.azurearch.transport.PeerClient;
import org.azurearch.transport.PeerServer;
import org.jspecify.annotations.Nullable;

/** Registers {@link ConfigInForce}, {@link ChangeService} and {@link SpreadStatus}. */
public final class SpreadPlugin implements Plugin {
    /** The name of the plug-in. */
    public static final String NAME = "spread";

    private @Nullable SpreadRunner mRunner;

    /** Creates the plug-in; called by the service loader. */
    public SpreadPlugin() {}

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Set<String> requires() {
        return Set.of("log", "transport", "member");
    }

    @Override
    public void start(Kernel kernel) {
        NodeIdentity identity = kernel.service(NodeIdentity.class);
        SpreadSettings settings = SpreadSettings.from(kernel.service(SettingsSection.class));
        MetricRegistry metrics = kernel.service(MetricRegistry.class);
        SpreadRunner.Services services =
                new SpreadRunner.Services(
                        kernel.service(LogClient.class),
                        kernel.service(PeerClient.class),
                        kernel.service(MemberView.class),
                        kernel.service(TimerService.class),
                        metrics,
                        new CodecFormat(),
                        handler -> InputRing.startDuty(metrics, handler));
        long seed = identity.node().hashCode() ^ services.timers().time().nanos();
        SpreadRunner runner = new SpreadRunner(identity.mesh(), settings, services, seed);
        mRunner = runner;
        register(kernel, identity, settings, services, runner);
        runner.start(kernel.service(PeerServer.class));
    }

    @Override
    public void stop() {
        if (mRunner != null) {
            mRunner.close();
        }
    }

    private static void register(
            Kernel kernel,
            NodeIdentity identity,
            SpreadSettings settings,
            SpreadRunner.Services services,
            SpreadRunner runner) {
        SiteConfigInForce inForce = new SiteConfigInForce(identity.site());
        runner.addListener(installed -> inForce.install(installed.state()));
        FoldLogger foldLogger = new FoldLogger();
        runner.addListener(installed -> foldLogger.accept(installed.state()));
        ProgressQuery progressQuery =
                new ProgressQuery(
                        services.peers(),
                        services.members(),
                        runner,
                        settings,
                        services.timers().time());
        kernel.register(ConfigInForce.class, inForce);
        kernel.register(
                ChangeService.class,
                new LogChangeService(
                        services.log(), identity.mesh(), services.timers(), runner, progressQuery));
        kernel.register(
                SpreadStatus.class, new RunnerStatus(runner, inForce, settings.policy().name()));
    }
}
