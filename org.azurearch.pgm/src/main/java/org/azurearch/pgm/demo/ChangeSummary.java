package org.azurearch.pgm.demo;

import java.util.stream.Collectors;
import org.azurearch.admin.ChangeReport;

/** One-line summary of a change report. */
final class ChangeSummary {
    private ChangeSummary() {}

    /** Returns the status, followed by the lagging data centres if there are any. */
    static String of(ChangeReport report) {
        String lagging =
                report.dataCentres().stream()
                        .filter(ChangeSummary::isLagging)
                        .map(ChangeSummary::laggingText)
                        .collect(Collectors.joining(", "));
        return lagging.isEmpty() ? report.status() : report.status() + " (" + lagging + ")";
    }

    private static boolean isLagging(ChangeReport.DataCentreReport progress) {
        return progress.silentSinceMillis() > 0 || progress.inForce() < progress.total();
    }

    private static String laggingText(ChangeReport.DataCentreReport progress) {
        if (progress.silentSinceMillis() > 0) {
            return progress.dataCentre() + " silent";
        }
        return progress.dataCentre()
                + " "
                + progress.inForce()
                + " of "
                + progress.total()
                + ", not on "
                + progress.laggards();
    }
}
