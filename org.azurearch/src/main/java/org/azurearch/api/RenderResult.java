package org.azurearch.api;

import java.util.List;
import org.azurearch.config.Provenance;
import org.azurearch.errors.Problem;

/**
 * The result of {@link RenderCommand}.
 *
 * @param status whether the configuration was rendered
 * @param text the merged configuration as YAML; empty unless rendered
 * @param values each value and the location that set it; empty unless rendered
 * @param problems the problems found; empty when rendered
 */
public record RenderResult(
        Status status, String text, List<Provenance> values, List<Problem> problems) {
    /** Whether the configuration was rendered. */
    public enum Status {
        /** The configuration is valid and rendered. */
        RENDERED,
        /** The documents are not valid. */
        INVALID,
        /** The firm is not among the documents. */
        NOT_FOUND
    }

    /** Takes copies of the lists. */
    public RenderResult {
        values = List.copyOf(values);
        problems = List.copyOf(problems);
    }

    /** Returns a result without a text. */
    static RenderResult failed(Status status, List<Problem> problems) {
        return new RenderResult(status, "", List.of(), problems);
    }
}
