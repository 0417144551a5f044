package org.azurearch.standin.bench.experiments;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.azurearch.standin.backend.RunCounter;
import org.azurearch.standin.load.LoadObserver;
import org.azurearch.standin.load.LoadOutcome;
import org.azurearch.standin.load.LoadTarget;
import org.azurearch.standin.load.RequestKind;

/** Compares the verdicts that callers received with the runs that backend servers counted. */
final class RunAudit implements LoadObserver {
    private final RunCounter mRuns;
    private final Queue<NotRunVerdict> mNotRunVerdicts = new ConcurrentLinkedQueue<>();

    private record NotRunVerdict(RequestKind kind, String orderKey, String attemptKey) {}

    RunAudit(RunCounter runs) {
        mRuns = runs;
    }

    @Override
    public void attemptEnded(
            LoadTarget target,
            RequestKind kind,
            String orderKey,
            String attemptKey,
            LoadOutcome outcome) {
        if (outcome == LoadOutcome.NOT_RUN) {
            mNotRunVerdicts.add(new NotRunVerdict(kind, orderKey, attemptKey));
        }
    }

    /** Returns how many non-idempotent requests ran more than once. */
    long doubleRuns() {
        return mRuns.doubleRuns();
    }

    /**
     * Returns how many requests of a kind ran despite the verdict not-run. For a keyed order, a run
     * of any attempt counts, since a caller with this verdict may place the order again.
     */
    long falseNotRun(RequestKind kind) {
        return mNotRunVerdicts.stream()
                .filter(verdict -> verdict.kind().equals(kind))
                .filter(this::ran)
                .count();
    }

    private boolean ran(NotRunVerdict verdict) {
        return verdict.kind().keyed()
                ? mRuns.runsOfOrder(verdict.orderKey()) > 0
                : mRuns.runsOfAttempt(verdict.attemptKey()) > 0;
    }
}
