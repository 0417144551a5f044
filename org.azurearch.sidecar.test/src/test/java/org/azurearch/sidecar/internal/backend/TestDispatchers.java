package org.azurearch.sidecar.internal.backend;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import org.azurearch.sidecar.Dialect;
import org.azurearch.sidecar.admit.LinkLoad;
import org.azurearch.sidecar.internal.CallLog;
import org.azurearch.sidecar.internal.suspect.CallFingerprints;
import org.azurearch.sidecar.internal.suspect.SuspectTracker;
import org.jspecify.annotations.Nullable;

/** Creates dispatchers whose events are ignored. */
public final class TestDispatchers {
    /** Header names of the tests. */
    static final Dialect DIALECT =
            new Dialect(
                    "id",
                    "deadline",
                    "caller",
                    "expected",
                    "instance",
                    "not-run",
                    "signature",
                    "limit",
                    "leaving",
                    "retry-after",
                    "key",
                    "account",
                    "/ready");

    private TestDispatchers() {}

    /** Creates a dispatcher without a backend server. */
    public static BackendDispatcher create(EventLoop loop) {
        MetricRegistry metrics = new MetricRegistry();
        SuspectTracker suspects =
                new SuspectTracker(new CallFingerprints(DIALECT), "node", metrics);
        return new BackendDispatcher(
                loop,
                1_000,
                DIALECT,
                new IgnoringListener(),
                new CallLog(),
                suspects,
                LinkLoad.unlimited(),
                metrics);
    }

    private static final class IgnoringListener implements BackendDispatcher.Listener {
        @Override
        public void unreachable() {}

        @Override
        public void replaced() {}

        @Override
        public void leavingAnnounced() {}

        @Override
        public void limitNamed(double perSecond) {}

        @Override
        public @Nullable String healthPath(String service) {
            return null;
        }
    }
}
