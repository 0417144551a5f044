package org.azurearch.standin.bench.capacity;

import java.util.OptionalDouble;
import org.azurearch.standin.bench.report.MarkdownReport;

/**
 * One need of a role at the size to design for.
 *
 * @param role the role
 * @param need what is needed
 * @param value the need, empty when it has not been measured
 * @param unit the unit
 * @param limit the limit, empty when there is none
 * @param source how the value was worked out, naming records and figures
 * @param mechanism what carries it
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

    /** Returns the row of the page's table. */
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

    /** Returns the margin to the limit, negative when the need exceeds it. */
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
