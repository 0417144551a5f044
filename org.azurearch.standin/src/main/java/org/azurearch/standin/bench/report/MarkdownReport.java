package org.azurearch.standin.bench.report;

import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.azurearch.standin.bench.ExperimentRecord;
import org.azurearch.standin.bench.Figure;
import org.azurearch.standin.bench.Series;

/** Formats a record as a Markdown page. */
public final class MarkdownReport {
    private MarkdownReport() {}

    /**
     * Returns the page of a record.
     *
     * @param name name of the record's files, without suffix
     */
    public static String of(String name, ExperimentRecord record) {
        StringBuilder page = new StringBuilder();
        page.append("# ").append(name).append("\n\n");
        page.append("Experiment `").append(record.experiment()).append("`, started ");
        page.append(record.startedAt()).append(", ");
        page.append(String.format(Locale.ROOT, "%.1f s, ", record.seconds()));
        page.append("commit ").append(record.commit()).append(", ");
        page.append(record.machine().cores()).append(" cores, heap up to ");
        page.append(record.machine().maxHeapMebibytes()).append(" MiB, Java ");
        page.append(record.machine().java()).append(".\n\n");
        page.append("Run with: `./azurearch bench ").append(record.experiment());
        for (Map.Entry<String, String> setting : record.settings().entrySet()) {
            page.append(" --").append(setting.getKey()).append(' ').append(setting.getValue());
        }
        page.append("`\n\n| figure | value | unit |\n|---|---:|---|\n");
        for (Figure figure : record.figures()) {
            page.append("| ").append(figure.name()).append(" | ");
            page.append(formatNumber(figure.value())).append(" | ");
            page.append(figure.unit()).append(" |\n");
        }
        for (String chart : charts(record)) {
            page.append("\n![").append(chart).append("](");
            page.append(Plots.fileName(name, chart)).append(")\n");
        }
        return page.toString();
    }

    /**
     * Returns a number as text: whole numbers without decimals, others with one decimal from 100 on
     * and four significant digits below.
     */
    public static String formatNumber(double value) {
        if (value == Math.rint(value) && Math.abs(value) < 1e15) {
            return String.format(Locale.ROOT, "%.0f", value);
        }
        return String.format(Locale.ROOT, Math.abs(value) >= 100 ? "%.1f" : "%.4g", value);
    }

    private static Set<String> charts(ExperimentRecord record) {
        Set<String> charts = new LinkedHashSet<>();
        record.series().stream().map(Series::chart).forEach(charts::add);
        return charts;
    }
}
