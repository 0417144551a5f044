package org.azurearch.sidecar.internal.quota;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.azurearch.events.EventLog;
import org.azurearch.sidecar.SidecarEvent;

/**
 * Counts what becomes of requests of limited accounts and of their tokens, and logs the counts of a
 * second in which requests were refused. Confined to one thread.
 */
final class TokenLedger {
    private static final long REPORT_MILLIS = 1_000;

    /** What becomes of a request or of its token. */
    enum Outcome {
        /** The request got a token. */
        ALLOWED("quota.allowed"),
        /** The request was refused, as its account is at its limit. */
        AT_LIMIT("quota.at-limit"),
        /** The request was refused, as no coordinator has answered. */
        NO_ANSWER("quota.no-answer"),
        /** The request waited for an answer. */
        WAITED("quota.waited"),
        /** The token was given back, as the request did not run. */
        RETURNED("quota.tokens-returned"),
        /** The token was lost, as the request did not run and it was too late to give it back. */
        UNUSED("quota.tokens-unused");

        private final String mMetric;

        Outcome(String metric) {
            mMetric = metric;
        }
    }

    private final Counter[] mCounters = new Counter[Outcome.values().length];
    private final long[] mReported = new long[Outcome.values().length];
    private long mReportedMillis = Long.MIN_VALUE / 2;

    TokenLedger(MetricRegistry metrics) {
        for (Outcome outcome : Outcome.values()) {
            mCounters[outcome.ordinal()] = metrics.counter(outcome.mMetric);
        }
    }

    void count(Outcome outcome) {
        mCounters[outcome.ordinal()].inc();
    }

    /**
     * Logs the counts since the last report if one is due.
     *
     * @param delegated the part of all rates that is delegated to this node
     * @param members the number of nodes, reachable or not
     */
    void report(double delegated, int members, long nowMillis) {
        if (nowMillis - mReportedMillis < REPORT_MILLIS) {
            return;
        }
        mReportedMillis = nowMillis;
        Object[] values = new Object[mCounters.length + 2];
        boolean refused = false;
        for (Outcome outcome : Outcome.values()) {
            int index = outcome.ordinal();
            long count = mCounters[index].getCount();
            long since = count - mReported[index];
            mReported[index] = count;
            values[index] = since;
            refused |= outcome != Outcome.ALLOWED && outcome != Outcome.WAITED && since > 0;
        }
        if (refused || delegated > 0) {
            values[mCounters.length] = Math.round(delegated * 1_000) / 1_000.0;
            values[mCounters.length + 1] = members;
            EventLog.log(SidecarEvent.QUOTA_TOKENS, values);
        }
    }
}
