package org.azurearch.standin.bench.capacity;

import java.util.OptionalDouble;
import org.azurearch.standin.bench.report.MarkdownReport;

/**
 * A row of the capacity page: one resource need of a role, or one need of an event, at the target
 * size.
 *
 * @param role the role or event
 * @param need the resource or time that is needed
 * @param value the amount, empty if not measured
 * @param unit the unit of value and limit
 * @param limit the upper limit, empty if none is set
 * @param source how the value was derived, with the names of records and figures
 * @param mechanism the mechanism that keeps the need within its limit
 */
public record CapacityRow(
        String role,
        String need,
        OptionalDouble value,
        String unit,
        OptionalDouble limit,
        String source,
        String mechanism) {
    private static final String NOT_MEASURED = "not measured";

    /** Returns the row as Markdown. */
    public String markdown() {
        return String.join(
                " | ",
                "| " + role,
                need,
                value.isPresent() ? formatNumber(value) + " " + unit : NOT_MEASURED,
                limit.isPresent() ? formatNumber(limit) + " " + unit : "none set",
                margin(),
                source,
                mechanism + " |");
    }

    /** Returns the margin to the limit as text; "short by" if the need exceeds the limit. */
    private String margin() {
        if (value.isEmpty() || limit.isEmpty()) {
            return "unknown";
        }
        double remaining = limit.getAsDouble() - value.getAsDouble();
        String text = MarkdownReport.formatNumber(remaining) + " " + unit;
        return remaining < 0 ? "**short by " + text.substring(1) + "**" : text;
    }

    private static String formatNumber(OptionalDouble number) {
        return MarkdownReport.formatNumber(number.getAsDouble());
    }
}
