package org.azurearch.internal.transport;

import com.codahale.metrics.MetricRegistry;
import org.azurearch.kernel.Duty;
import org.azurearch.kernel.OverflowRule;
import org.azurearch.thrift.PeerRequest;

/**
 * The queues of requests for the handlers: one for membership and one for configuration, so that
 * large transfers do not delay failure detection.
 */
final class PeerRequestQueues implements AutoCloseable {
    private final Duty<Runnable> mMembership;
    private final Duty<Runnable> mConfiguration;

    PeerRequestQueues(int capacity, MetricRegistry metrics) {
        mMembership = newQueue("peer-membership", capacity, metrics);
        mConfiguration = newQueue("peer-configuration", capacity, metrics);
    }

    /** Queues a task; returns false without blocking if the queue is full. */
    boolean offer(PeerRequest._Fields kind, Runnable task) {
        return switch (kind) {
            case PING, INDIRECT_PING, SYNC -> mMembership.offer(task);
            default -> mConfiguration.offer(task);
        };
    }

    @Override
    public void close() {
        mMembership.close();
        mConfiguration.close();
    }

    private static Duty<Runnable> newQueue(String name, int capacity, MetricRegistry metrics) {
        return new Duty<>(name, capacity, OverflowRule.REJECT_NEWEST, metrics, Runnable::run);
    }
}
