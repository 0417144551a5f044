package org.azurearch.sidecar.internal.call;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.azurearch.sidecar.route.HedgePolicy;

/** Counters of hedged requests. Confined to one event loop. */
final class HedgeMetrics {
    private final Counter mSent;
    private final Counter mWon;
    private final Counter mCancelled;
    private final Map<HedgePolicy.Decision, Counter> mWithheld =
            new EnumMap<>(HedgePolicy.Decision.class);

    HedgeMetrics(MetricRegistry registry) {
        mSent = registry.counter("hedges.sent");
        mWon = registry.counter("hedges.won");
        mCancelled = registry.counter("hedges.cancelled");
        for (HedgePolicy.Decision reason : HedgePolicy.Decision.values()) {
            if (reason != HedgePolicy.Decision.SEND) {
                String name = reason.name().toLowerCase(Locale.ROOT).replace('_', '-');
                mWithheld.put(reason, registry.counter("hedges.withheld." + name));
            }
        }
    }

    /** Counts a request that was sent to a second server. */
    void sent() {
        mSent.inc();
    }

    /** Counts a call whose caller got the answer of the second server. */
    void won() {
        mWon.inc();
    }

    /** Counts attempts that were cancelled because another one was answered first. */
    void cancelled(int attempts) {
        mCancelled.inc(attempts);
    }

    /** Counts a slow call that was not hedged until its end, by the last reason. */
    void withheld(HedgePolicy.Decision reason) {
        Counter counter = mWithheld.get(reason);
        if (counter != null) {
            counter.inc();
        }
    }
}
