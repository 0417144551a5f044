package org.azurearch.admin;

import java.util.List;
import org.azurearch.fold.ChangeOutcome;
import org.azurearch.lib.ChangeId;
import org.azurearch.lib.NodeId;
import org.azurearch.spread.ChangeProgress;
import org.jspecify.annotations.Nullable;

/**
 * The status of a change.
 *
 * @param change the id of the change
 * @param status {@code unknown}, {@code appended}, {@code refused}, {@code accepted} or {@code
 *     in-force}
 * @param outcome the decision, or null before it is known
 * @param dataCentres the progress by data centre
 */
public record ChangeReport(
        String change,
        String status,
        @Nullable Outcome outcome,
        List<DataCentreReport> dataCentres) {
    /** Takes a copy of the list. */
    public ChangeReport {
        dataCentres = List.copyOf(dataCentres);
    }

    /** Returns the report of a change's progress. */
    public static ChangeReport of(ChangeProgress progress) {
        ChangeOutcome outcome = progress.outcome();
        return new ChangeReport(
                progress.change().name(),
                textOf(progress.status()),
                outcome == null ? null : Outcome.of(outcome),
                progress.dataCentres().stream().map(DataCentreReport::of).toList());
    }

    /** Returns whether the status is final: the change is refused or in force. */
    public boolean isFinal() {
        return status.equals(textOf(ChangeProgress.Status.REFUSED))
                || status.equals(textOf(ChangeProgress.Status.IN_FORCE));
    }

    private static String textOf(Enum<?> value) {
        return value.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }

    /**
     * The decision on a change.
     *
     * @param change the id of the change
     * @param decision {@code accepted}, or {@code refused-} with the reason
     * @param version the version that it created, or the firm's version when it was refused
     * @param offset the offset in the log
     * @param appendedAtMillis when it was appended to the log, in milliseconds since the epoch
     * @param operator the operator who submitted it
     * @param winner the change it conflicts with, or null
     * @param problems the problems that make it invalid; empty otherwise
     * @param note the operator's note
     */
    public record Outcome(
            String change,
            String decision,
            String version,
            long offset,
            long appendedAtMillis,
            String operator,
            @Nullable String winner,
            List<ProblemReport> problems,
            String note) {
        /** Takes a copy of the list. */
        public Outcome {
            problems = List.copyOf(problems);
        }

        /** Returns the report of a decision. */
        public static Outcome of(ChangeOutcome outcome) {
            return new Outcome(
                    outcome.change().name(),
                    textOf(outcome.status()),
                    outcome.version().name(),
                    outcome.offset(),
                    outcome.appendedAtMillis(),
                    outcome.operator().name(),
                    outcome.conflictsWith().map(ChangeId::name).orElse(null),
                    outcome.problems().stream().map(ProblemReport::of).toList(),
                    outcome.note());
        }

        /** Returns whether the change was refused because it conflicts with another one. */
        public boolean conflict() {
            return decision.equals(textOf(ChangeOutcome.Status.REFUSED_CONFLICT));
        }
    }

    /**
     * Progress within a data centre.
     *
     * @param dataCentre the data centre
     * @param total the number of its nodes known to be alive
     * @param inForce the number of them that have the change, or a later version, in force
     * @param laggards the nodes that do not have it in force
     * @param silentSinceMillis when the data centre last answered, in milliseconds since the epoch;
     *     0 while it answers
     */
    public record DataCentreReport(
            String dataCentre,
            int total,
            int inForce,
            List<String> laggards,
            long silentSinceMillis) {
        /** Takes a copy of the list. */
        public DataCentreReport {
            laggards = List.copyOf(laggards);
        }

        /** Returns the report of a data centre's progress. */
        public static DataCentreReport of(ChangeProgress.DataCentreProgress progress) {
            return new DataCentreReport(
                    progress.dataCentre().name(),
                    progress.total(),
                    progress.inForce(),
                    progress.laggards().stream().map(NodeId::name).toList(),
                    progress.silentSinceMillis());
        }
    }
}
