package org.azurearch.pgm.internal;

import java.time.Instant;
import org.azurearch.admin.ChangeReport;
import org.azurearch.admin.ProblemReport;
import org.azurearch.pgm.ExitCode;
import org.azurearch.pgm.PgmText;

/** Prints the status of a change. */
public final class ChangePrinter {
    private static final String REFUSED = "refused";
    private static final String UNKNOWN = "unknown";

    private ChangePrinter() {}

    /** Prints a report and returns its exit code. */
    public static ExitCode print(ChangeReport report, Output output) {
        output.printResult(report, value -> printText(value, output));
        return exitCode(report);
    }

    /** Returns the exit code for a report. */
    public static ExitCode exitCode(ChangeReport report) {
        if (report.status().equals(REFUSED)) {
            ChangeReport.Outcome outcome = report.outcome();
            return outcome != null && outcome.conflict() ? ExitCode.CONFLICT : ExitCode.REFUSED;
        }
        return report.status().equals(UNKNOWN) ? ExitCode.UNAVAILABLE : ExitCode.DONE;
    }

    private static void printText(ChangeReport report, Output output) {
        ChangeReport.Outcome outcome = report.outcome();
        output.printLine(
                PgmText.CHANGE_LINE.format(
                        report.change(),
                        report.status(),
                        outcome == null ? "" : outcomeText(outcome)));
        if (outcome != null) {
            outcome.problems().stream().map(ProblemReport::text).forEach(output::printLine);
        }
        report.dataCentres().forEach(progress -> output.printLine(dataCentreLine(progress)));
    }

    private static String outcomeText(ChangeReport.Outcome outcome) {
        String text = ", " + outcome.decision() + " at " + outcome.version();
        return outcome.winner() == null ? text : text + ", conflicts with " + outcome.winner();
    }

    private static String dataCentreLine(ChangeReport.DataCentreReport progress) {
        if (progress.silentSinceMillis() > 0) {
            return PgmText.SILENT_LINE.format(
                    progress.dataCentre(), Instant.ofEpochMilli(progress.silentSinceMillis()));
        }
        String laggards = progress.laggards().isEmpty() ? "" : ", not on " + progress.laggards();
        return PgmText.DATA_CENTRE_LINE.format(
                progress.dataCentre(), progress.inForce(), progress.total(), laggards);
    }
}
