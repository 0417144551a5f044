package org.azurearch.internal.transport;

import com.codahale.metrics.MetricRegistry;
import org.azurearch.thrift.PeerRequest;

/** Counts the bytes sent to and received from peers by kind of request, with length prefixes. */
final class ControlByteCounters {
    private final MetricRegistry mMetrics;

    ControlByteCounters(MetricRegistry metrics) {
        mMetrics = metrics;
    }

    void countSent(PeerRequest._Fields kind, int bytes) {
        mMetrics.counter("control.sent.bytes." + kind.getFieldName()).inc(bytes);
    }

    void countReceived(PeerRequest._Fields kind, int bytes) {
        mMetrics.counter("control.received.bytes." + kind.getFieldName()).inc(bytes);
    }
}
