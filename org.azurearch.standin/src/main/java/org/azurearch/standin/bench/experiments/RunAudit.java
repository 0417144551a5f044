package org.azurearch.standin.bench.experiments;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.azurearch.standin.backend.RunCounter;
import org.azurearch.standin.load.LoadObserver;
import org.azurearch.standin.load.LoadOutcome;
import org.azurearch.standin.load.LoadTarget;
import org.azurearch.standin.load.RequestKind;

/** Holds the verdicts that callers got against the runs that backend servers counted. */
final class RunAudit implements LoadObserver {
    private final RunCounter mRuns;
    private final Queue<String> mRefusedAttempts = new ConcurrentLinkedQueue<>();
    private final Queue<String> mRefusedOrders = new ConcurrentLinkedQueue<>();

    RunAudit(RunCounter runs) {
        mRuns = runs;
    }

    @Override
    public void ended(
            LoadTarget target,
            RequestKind kind,
            String orderKey,
            String attemptKey,
            LoadOutcome outcome) {
        if (outcome != LoadOutcome.NOT_RUN) {
            return;
        }
        if (kind.keyed()) {
            mRefusedOrders.add(orderKey);
        } else {
            mRefusedAttempts.add(attemptKey);
        }
    }

    /** Returns how many non-idempotent requests ran more than once. */
    long doubleRuns() {
        return mRuns.doubleRuns();
    }

    /**
     * Returns how many requests ran although a caller was told that they did not. For a keyed order
     * every sending counts: a caller told so would order anew.
     */
    long falseNotRun() {
        long attempts = mRefusedAttempts.stream().filter(k -> mRuns.runsOfAttempt(k) > 0).count();
        long orders = mRefusedOrders.stream().filter(k -> mRuns.runsOfOrder(k) > 0).count();
        return attempts + orders;
    }
}
