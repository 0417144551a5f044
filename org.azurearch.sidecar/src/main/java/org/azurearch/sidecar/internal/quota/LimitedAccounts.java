package org.azurearch.sidecar.internal.quota;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.Map;
import org.azurearch.events.EventLog;
import org.azurearch.sidecar.SidecarEvent;
import org.azurearch.sidecar.account.ClientAccount;
import org.jspecify.annotations.Nullable;

/** Counts and logs the refusals of accounts at their limit. Confined to one thread. */
final class LimitedAccounts {
    /** Interval of the log lines of one account. */
    private static final long REPORT_MILLIS = 5_000;

    /** Accounts with a counter of their own; further ones share one. */
    private static final int MAX_COUNTED = 32;

    private static final String OTHERS = "others";

    /** The refusals of one account since the last line. */
    private static final class Refusals {
        private long mCount;
        private long mReportedMillis = Long.MIN_VALUE / 2;
    }

    private final MetricRegistry mMetrics;
    private final Counter mAll;
    private final Map<String, Counter> mCounters = new HashMap<>();
    private final Map<String, Refusals> mRefusals = new HashMap<>();

    LimitedAccounts(MetricRegistry metrics) {
        mMetrics = metrics;
        mAll = metrics.counter("quota.refused");
    }

    void refused(
            ClientAccount account, @Nullable String coordinator, long retryMillis, long nowMillis) {
        mAll.inc();
        counter(account.name()).inc();
        Refusals refusals = mRefusals.computeIfAbsent(account.name(), name -> new Refusals());
        refusals.mCount++;
        if (nowMillis - refusals.mReportedMillis >= REPORT_MILLIS) {
            refusals.mReportedMillis = nowMillis;
            EventLog.log(
                    SidecarEvent.ACCOUNT_LIMITED,
                    account.name(),
                    account.ratePerSecond(),
                    account.burst(),
                    refusals.mCount,
                    retryMillis,
                    coordinator == null ? "none" : coordinator);
            refusals.mCount = 0;
        }
        if (mRefusals.size() > 2 * MAX_COUNTED) {
            mRefusals.values().removeIf(old -> nowMillis - old.mReportedMillis > REPORT_MILLIS);
        }
    }

    private Counter counter(String account) {
        String name =
                mCounters.containsKey(account) || mCounters.size() < MAX_COUNTED ? account : OTHERS;
        return mCounters.computeIfAbsent(
                name, key -> mMetrics.counter("quota.refused." + key.replace('.', '_')));
    }
}
