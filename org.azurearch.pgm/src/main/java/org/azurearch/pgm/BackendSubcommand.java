package org.azurearch.pgm;

import java.time.Duration;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.NetAddress;
import org.azurearch.lib.ServiceId;
import org.azurearch.pgm.internal.Output;
import org.azurearch.pgm.internal.Shutdown;
import org.azurearch.settings.Durations;
import org.azurearch.standin.backend.BackendOptions;
import org.azurearch.standin.backend.BackendServer;
import org.azurearch.standin.backend.ColdStart;
import org.azurearch.standin.backend.HealthReports;
import org.azurearch.standin.backend.NodeAnnouncementTarget;
import org.azurearch.standin.backend.ServiceTime;

/** The {@code backend} command: runs a stand-in backend server until the process is stopped. */
@Command(name = "backend", summary = PgmText.SUMMARY_BACKEND)
public final class BackendSubcommand extends Subcommand {
    private static final String DEFAULT_LISTEN = "127.0.0.1:0";
    private static final String ZERO_DURATION = "0ms";
    private static final double COLD_SLOWDOWN = 4.0;
    private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(20);

    @Override
    protected void addOptions(OptionParser parser) {
        BackendOptions defaults = BackendOptions.DEFAULT;
        parser.accepts("node", PgmText.OPTION_OWN_NODE.format()).withRequiredArg();
        parser.accepts("firm", PgmText.OPTION_FIRM.format()).withRequiredArg();
        parser.accepts("service", PgmText.OPTION_SERVICE.format()).withRequiredArg();
        parser.accepts("listen", PgmText.OPTION_LISTEN.format())
                .withRequiredArg()
                .defaultsTo(DEFAULT_LISTEN);
        parser.accepts("slots", PgmText.OPTION_SLOTS.format())
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(defaults.slots());
        parser.accepts("connections", PgmText.OPTION_CONNECTIONS.format())
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(defaults.maxConnections());
        parser.accepts("service-time", PgmText.OPTION_SERVICE_TIME.format())
                .withRequiredArg()
                .defaultsTo(ZERO_DURATION);
        parser.accepts("cold-start", PgmText.OPTION_COLD_START.format())
                .withRequiredArg()
                .defaultsTo(ZERO_DURATION);
        parser.accepts("probe-cost", PgmText.OPTION_PROBE_COST.format())
                .withRequiredArg()
                .defaultsTo(ZERO_DURATION);
    }

    @Override
    protected ExitCode run(OptionSet options, Output output) {
        FirmId firm = FirmId.fromString(required(options, "firm"));
        ServiceId service = ServiceId.fromString(required(options, "service"));
        NetAddress node = NetAddress.fromString(required(options, "node"));
        NetAddress listen = NetAddress.fromString(required(options, "listen"));
        try (BackendServer server = BackendServer.start(listen, backendOptions(options))) {
            server.announceTo(new NodeAnnouncementTarget(node), firm, service);
            output.printLine(PgmText.READY_LINE.format("backend", server.address()));
            Shutdown.awaitRequest();
            server.drain(DRAIN_TIMEOUT);
        }
        return ExitCode.DONE;
    }

    private static BackendOptions backendOptions(OptionSet options) {
        BackendOptions defaults = BackendOptions.DEFAULT;
        Duration coldStart = duration(options, "cold-start");
        return defaults.withSlots((Integer) options.valueOf("slots"))
                .withConnections(
                        (Integer) options.valueOf("connections"), defaults.connectionCost())
                .withServiceTime(
                        new ServiceTime(
                                duration(options, "service-time"), ServiceTime.Shape.EXPONENTIAL))
                .withColdStart(
                        coldStart.isZero()
                                ? ColdStart.NONE
                                : new ColdStart(Duration.ZERO, coldStart, COLD_SLOWDOWN))
                .withReports(
                        new HealthReports(duration(options, "probe-cost"), Duration.ZERO, false))
                .withCrashEndingProcess();
    }

    private static Duration duration(OptionSet options, String name) {
        return Durations.parse(required(options, name));
    }
}
