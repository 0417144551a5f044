package org.azurearch.fold;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.azurearch.errors.Problem;
import org.azurearch.events.EventLog;
import org.azurearch.lib.FirmId;
import org.jspecify.annotations.Nullable;

/**
 * Logs the differences between consecutive states, since the fold itself has no side effects. The
 * first state is the baseline and logs nothing. States must be passed in order, by one thread.
 */
public final class FoldLogger implements Consumer<FoldState> {
    private @Nullable FoldState mPrevious;

    @Override
    public void accept(FoldState current) {
        FoldState previous = mPrevious;
        mPrevious = current;
        if (previous == null) {
            return;
        }
        if (current.skipped() > previous.skipped()) {
            long skipped = current.skipped() - previous.skipped();
            EventLog.log(FoldEvent.RECORDS_SKIPPED, skipped, previous.offset(), current.offset());
        }
        if (current.ruleSet() > previous.ruleSet()) {
            EventLog.log(
                    FoldEvent.RULE_SET_RAISED,
                    previous.ruleSet(),
                    current.ruleSet(),
                    current.offset());
        }
        current.firms().forEach(firm -> logOutcomes(newOutcomes(previous, current, firm)));
    }

    private static List<ChangeOutcome> newOutcomes(
            FoldState previous, FoldState current, FirmId firm) {
        List<ChangeOutcome> outcomes = new ArrayList<>();
        for (ChangeOutcome outcome : current.history(firm)) {
            if (outcome.offset() <= previous.offset()) {
                break;
            }
            outcomes.add(outcome);
        }
        Collections.reverse(outcomes);
        return outcomes;
    }

    private static void logOutcomes(List<ChangeOutcome> outcomes) {
        outcomes.forEach(
                outcome -> {
                    if (outcome.status() == ChangeOutcome.Status.ACCEPTED) {
                        EventLog.log(
                                FoldEvent.CHANGE_ACCEPTED, outcome.change(), outcome.version());
                    } else {
                        EventLog.log(
                                FoldEvent.CHANGE_REFUSED,
                                outcome.change(),
                                outcome.firm(),
                                outcome.status(),
                                reason(outcome));
                    }
                });
    }

    private static String reason(ChangeOutcome outcome) {
        return outcome.conflictsWith()
                .map(winner -> "conflicts with " + winner)
                .orElseGet(
                        () ->
                                outcome.problems().stream()
                                        .map(Problem::text)
                                        .collect(Collectors.joining("; ")));
    }
}
