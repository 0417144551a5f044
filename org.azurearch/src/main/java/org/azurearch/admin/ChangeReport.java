package org.azurearch.admin;

import java.util.List;
import org.azurearch.fold.ChangeOutcome;
import org.azurearch.lib.ChangeId;
import org.azurearch.lib.NodeId;
import org.azurearch.spread.ChangeProgress;
import org.jspecify.annotations.Nullable;

/**
 * Where a change stands.
 *
 * @param change the change
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

    /** Says whether the status will not change any more. */
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
     * @param change the change
     * @param decision {@code accepted}, or {@code refused-} with the reason
     * @param version the version it became, or was refused at
     * @param offset the offset in the log
     * @param appendedAtMillis when the log took it, in milliseconds since the epoch
     * @param operator who published it
     * @param winner the change it conflicts with, or null
     * @param problems why it is invalid
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

        /** Says whether the change lost a race against another one. */
        public boolean conflict() {
            return decision.equals(textOf(ChangeOutcome.Status.REFUSED_CONFLICT));
        }
    }

    /**
     * Progress within a data centre.
     *
     * @param dataCentre the data centre
     * @param total the live nodes known there
     * @param inForce how many of them have it, or a later version, in force
     * @param laggards nodes that do not
     * @param silentSinceMillis since when the data centre has been silent, 0 while it answers
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
