package org.azurearch.pgm.demo;

import java.util.List;

/**
 * The results of a demonstration.
 *
 * @param firm the firm
 * @param steps the results of its steps
 */
public record DemoReport(String firm, List<StepResult> steps) {
    /** Copies the list. */
    public DemoReport {
        steps = List.copyOf(steps);
    }

    /** Returns whether every step kept its guarantee. */
    public boolean allKept() {
        return steps.stream().allMatch(step -> step.status() == StepResult.Status.KEPT);
    }

    /** Returns the results as a table. */
    public String table() {
        int width = steps.stream().mapToInt(step -> step.step().length()).max().orElse(0);
        StringBuilder table = new StringBuilder();
        for (StepResult step : steps) {
            table.append(
                    String.format(
                            "%-6s  %-" + Math.max(1, width) + "s  %s%n",
                            step.status(),
                            step.step(),
                            step.detail()));
        }
        return table.toString().stripTrailing();
    }
}
