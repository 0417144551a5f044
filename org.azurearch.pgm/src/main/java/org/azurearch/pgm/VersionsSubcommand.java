package org.azurearch.pgm;

import java.time.Instant;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.azurearch.admin.ChangeReport;
import org.azurearch.admin.VersionsCommand;
import org.azurearch.admin.VersionsReport;
import org.azurearch.pgm.internal.Output;

/** The {@code versions} command: lists versions and refused changes. */
@Command(name = "versions", summary = PgmText.SUMMARY_VERSIONS)
public final class VersionsSubcommand extends RemoteSubcommand {
    @Override
    protected void addOptions(OptionParser parser) {
        super.addOptions(parser);
        addFirmOption(parser);
    }

    @Override
    protected ExitCode run(OptionSet options, Output output) {
        VersionsReport report = new VersionsCommand(client(options), firm(options)).call();
        output.printResult(report, value -> print(value, output));
        return ExitCode.DONE;
    }

    private static void print(VersionsReport report, Output output) {
        output.printLine(
                PgmText.VERSIONS_HEAD.format(
                        report.firm(),
                        Long.toString(report.current()),
                        Long.toString(report.offset()),
                        report.digest()));
        for (ChangeReport.Outcome outcome : report.changes()) {
            output.printLine(
                    PgmText.VERSION_LINE.format(
                            outcome.version(),
                            Instant.ofEpochMilli(outcome.appendedAtMillis()),
                            outcome.decision(),
                            outcome.operator(),
                            outcome.change(),
                            outcome.note()));
        }
    }
}
