package org.azurearch.metrics;

import java.util.Locale;

/** Formats a report in the Prometheus text format, version 0.0.4. */
public final class PrometheusText {
    /** The media type. */
    public static final String MEDIA_TYPE = "text/plain; version=0.0.4";

    private static final String PREFIX = "azurearch_";

    private PrometheusText() {}

    /** Returns a report as text. */
    public static String of(MetricsReport report) {
        StringBuilder out = new StringBuilder();
        report.gauges()
                .forEach((name, value) -> appendSample(out, name, "gauge", formatNumber(value)));
        report.counters()
                .forEach(
                        (name, value) ->
                                appendSample(
                                        out, name + "_total", "counter", Long.toString(value)));
        report.histograms().forEach((name, value) -> appendSummary(out, name, value));
        return out.toString();
    }

    private static void appendSample(StringBuilder out, String name, String type, String value) {
        String metric = metricName(name);
        out.append("# TYPE ").append(metric).append(' ').append(type).append('\n');
        out.append(metric).append(' ').append(value).append('\n');
    }

    private static void appendSummary(
            StringBuilder out, String name, MetricsReport.HistogramReport value) {
        String metric = metricName(name);
        out.append("# TYPE ").append(metric).append(" summary\n");
        appendQuantile(out, metric, "0.5", value.p50());
        appendQuantile(out, metric, "0.95", value.p95());
        appendQuantile(out, metric, "0.99", value.p99());
        appendQuantile(out, metric, "0.999", value.p999());
        out.append(metric).append("_count ").append(value.count()).append('\n');
    }

    private static void appendQuantile(
            StringBuilder out, String metric, String quantile, double value) {
        out.append(metric)
                .append("{quantile=\"")
                .append(quantile)
                .append("\"} ")
                .append(formatNumber(value))
                .append('\n');
    }

    private static String metricName(String name) {
        return PREFIX + name.toLowerCase(Locale.ROOT).replaceAll("[^a-z0-9_]", "_");
    }

    private static String formatNumber(double value) {
        return value == Math.rint(value) && Math.abs(value) < Long.MAX_VALUE
                ? Long.toString((long) value)
                : Double.toString(value);
    }
}
