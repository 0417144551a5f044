package org.azurearch.internal.fold;

import java.util.List;
import java.util.Set;
import org.azurearch.errors.Problem;
import org.azurearch.fold.ChangeOutcome;
import org.azurearch.fold.DocumentName;
import org.azurearch.lib.ChangeId;
import org.jspecify.annotations.Nullable;

/**
 * The result of evaluating a change.
 *
 * @param status the decision
 * @param content the content of the new version, or null when there is none
 * @param changedDocuments the names of the documents that the change modifies
 * @param winner the change that it conflicts with, or null
 * @param problems the problems of an invalid change; empty otherwise
 * @param ruleSet the rule set that it raises the mesh to, or 0
 */
record Decision(
        ChangeOutcome.Status status,
        @Nullable FirmContent content,
        Set<DocumentName> changedDocuments,
        @Nullable ChangeId winner,
        List<Problem> problems,
        int ruleSet) {
    /** Takes copies of the collections. */
    Decision {
        changedDocuments = Set.copyOf(changedDocuments);
        problems = List.copyOf(problems);
    }

    /** Returns the acceptance of a change that creates a new version. */
    static Decision accepted(FirmContent content, Set<DocumentName> changedDocuments) {
        return new Decision(
                ChangeOutcome.Status.ACCEPTED, content, changedDocuments, null, List.of(), 0);
    }

    /** Returns the acceptance of a change that raises the rule set. */
    static Decision raised(int ruleSet) {
        return new Decision(
                ChangeOutcome.Status.ACCEPTED, null, Set.of(), null, List.of(), ruleSet);
    }

    /** Returns a refusal that needs no details beside its status. */
    static Decision refused(ChangeOutcome.Status status) {
        return new Decision(status, null, Set.of(), null, List.of(), 0);
    }

    /** Returns the refusal of a change that conflicts with an earlier one. */
    static Decision conflict(ChangeId winner) {
        return new Decision(
                ChangeOutcome.Status.REFUSED_CONFLICT, null, Set.of(), winner, List.of(), 0);
    }

    /** Returns the refusal of an invalid change; keeps the first {@link FoldLimits#PROBLEMS}. */
    static Decision invalid(List<Problem> problems) {
        List<Problem> kept = problems.subList(0, Math.min(FoldLimits.PROBLEMS, problems.size()));
        return new Decision(ChangeOutcome.Status.REFUSED_INVALID, null, Set.of(), null, kept, 0);
    }
}
