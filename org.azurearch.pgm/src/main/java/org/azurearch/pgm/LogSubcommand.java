package org.azurearch.pgm;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.azurearch.lib.NetAddress;
import org.azurearch.pgm.internal.Output;
import org.azurearch.pgm.internal.Shutdown;
import org.azurearch.settings.Durations;
import org.azurearch.standin.log.LogServer;
import org.azurearch.standin.log.LogServerOptions;

/** The {@code log} command: runs a stand-in of the platform's log until the process is stopped. */
@Command(name = "log", summary = PgmText.SUMMARY_LOG)
public final class LogSubcommand extends Subcommand {
    private static final String DEFAULT_LISTEN = "127.0.0.1:7070";

    @Override
    protected void addOptions(OptionParser parser) {
        LogServerOptions defaults = LogServerOptions.DEFAULT;
        parser.accepts("listen", PgmText.OPTION_LISTEN.format())
                .withRequiredArg()
                .defaultsTo(DEFAULT_LISTEN);
        parser.accepts("retain-records", PgmText.OPTION_RETAIN_RECORDS.format())
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(defaults.retentionRecords());
        parser.accepts("retain-time", PgmText.OPTION_RETAIN_TIME.format())
                .withRequiredArg()
                .defaultsTo(defaults.retentionAge().toHours() + "h");
        parser.accepts("append-rate", PgmText.OPTION_APPEND_RATE.format())
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(defaults.appendsPerSecond());
    }

    @Override
    protected ExitCode run(OptionSet options, Output output) {
        LogServerOptions serverOptions =
                new LogServerOptions(
                        (Integer) options.valueOf("append-rate"),
                        Durations.parse(required(options, "retain-time")),
                        (Integer) options.valueOf("retain-records"));
        NetAddress listen = NetAddress.fromString(required(options, "listen"));
        try (LogServer server = LogServer.start(listen, serverOptions)) {
            output.printLine(PgmText.READY_LINE.format("log", server.address()));
            Shutdown.awaitRequest();
        }
        return ExitCode.DONE;
    }
}
