package org.azurearch.internal.spread;

import org.azurearch.config.ConfigInForce;
import org.azurearch.spread.Position;
import org.azurearch.spread.SpreadStatus;
import org.azurearch.spread.StateSource;

/** The status of a runner, derived from its published view; thread-safe. */
final class RunnerStatus implements SpreadStatus {
    private final SpreadRunner mRunner;
    private final ConfigInForce mInForce;
    private final String mPolicy;

    RunnerStatus(SpreadRunner runner, ConfigInForce inForce, String policy) {
        mRunner = runner;
        mInForce = inForce;
        mPolicy = policy;
    }

    @Override
    public boolean ready() {
        return mInForce.current() != null;
    }

    @Override
    public Position position() {
        return mRunner.view().position();
    }

    @Override
    public StateSource source() {
        return mRunner.view().source();
    }

    @Override
    public boolean reader() {
        return mRunner.view().reader();
    }

    @Override
    public String reason() {
        String reason = mRunner.view().reason();
        boolean noneAccepted = !ready() && reason.isEmpty();
        return noneAccepted ? "no version has been accepted yet" : reason;
    }

    @Override
    public String policy() {
        return mPolicy;
    }
}
