package org.azurearch.fold;

import java.util.List;
import java.util.stream.Collectors;
import org.azurearch.errors.Problem;
import org.azurearch.events.EventLog;
import org.azurearch.lib.FirmId;

/** Logs what a record did; for the duty that folds, as the fold itself has no effects. */
public final class FoldReport {
    private FoldReport() {}

    /**
     * Logs the difference that one record made.
     *
     * @param before the state before the record
     * @param after the state after it
     */
    public static void log(FoldState before, FoldState after) {
        if (after.skipped() > before.skipped()) {
            EventLog.log(FoldEvent.RECORD_SKIPPED, after.offset());
        }
        if (after.ruleSet() > before.ruleSet()) {
            EventLog.log(
                    FoldEvent.RULE_SET_RAISED, before.ruleSet(), after.ruleSet(), after.offset());
        }
        for (FirmId firm : after.firms()) {
            List<ChangeOutcome> history = after.history(firm);
            if (!history.isEmpty() && history.get(0).offset() == after.offset()) {
                log(history.get(0));
            }
        }
    }

    private static void log(ChangeOutcome outcome) {
        if (outcome.status() == ChangeOutcome.Status.ACCEPTED) {
            EventLog.log(FoldEvent.CHANGE_ACCEPTED, outcome.change(), outcome.version());
            return;
        }
        String detail =
                outcome.conflictsWith()
                        .map(winner -> "won by " + winner)
                        .orElseGet(
                                () ->
                                        outcome.problems().stream()
                                                .map(Problem::text)
                                                .collect(Collectors.joining("; ")));
        EventLog.log(
                FoldEvent.CHANGE_REFUSED,
                outcome.change(),
                outcome.firm(),
                outcome.status(),
                detail);
    }
}
