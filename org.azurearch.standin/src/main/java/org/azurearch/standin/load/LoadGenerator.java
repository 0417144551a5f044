package org.azurearch.standin.load;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.azurearch.lib.NetAddress;

/**
 * Open-loop load generator: sends requests on a schedule that does not depend on the answers.
 * Latency is measured from the time a request was due, so that a stall shows in every request it
 * delays. Targets alternate within a run, so that they are measured under the same machine
 * conditions.
 */
public final class LoadGenerator implements AutoCloseable {
    private static final int THREADS = 2;
    private static final long SPIN_NANOS = 80_000L;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long COMPLETION_POLL_NANOS = 1_000_000L;
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 1_000L;

    private final EventLoopGroup mEventLoopGroup =
            new MultiThreadIoEventLoopGroup(
                    THREADS,
                    new DefaultThreadFactory("standin-load", true),
                    NioIoHandler.newFactory());
    private final List<EventLoop> mEventLoops = new ArrayList<>();
    private final LoadPlan mPlan;
    private final List<LoadTarget> mTargets;
    private final LoadObserver mObserver;
    private final LoadReport mReport = new LoadReport();
    private final List<Map<NetAddress, LoadPool>> mPools = new ArrayList<>();
    private final AtomicLong mPending = new AtomicLong();

    /**
     * Creates a generator.
     *
     * @param targets at least one target
     * @param observer notified of the outcome of each attempt
     */
    public LoadGenerator(LoadPlan plan, List<LoadTarget> targets, LoadObserver observer) {
        mPlan = plan;
        mTargets = List.copyOf(targets);
        mObserver = observer;
        for (int index = 0; index < THREADS; index++) {
            EventLoop loop = mEventLoopGroup.next();
            mEventLoops.add(loop);
            mPools.add(pools(loop));
        }
    }

    /**
     * Sends the load and waits until every request has ended or has had time for all its retries.
     *
     * @return counts and latencies
     */
    public LoadReport run() {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(mPlan.seed());
        long total = mPlan.duration().toNanos() / NANOS_PER_SECOND * mPlan.requestsPerSecond();
        long partial = mPlan.duration().toNanos() % NANOS_PER_SECOND;
        total += partial * mPlan.requestsPerSecond() / NANOS_PER_SECOND;
        long start = System.nanoTime();
        for (long number = 0; number < total; number++) {
            long due = start + number * NANOS_PER_SECOND / mPlan.requestsPerSecond();
            awaitTime(due);
            LoadTarget target = mTargets.get((int) (number % mTargets.size()));
            mPending.incrementAndGet();
            send(new LoadRequest(drawKind(random), target, number, 0, due));
        }
        awaitCompletion();
        return mReport;
    }

    @Override
    public void close() {
        mEventLoopGroup.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    void attemptEnded(LoadRequest request, LoadOutcome outcome) {
        long latency = System.nanoTime() - request.dueNanos();
        mReport.add(request.target(), request.kind(), outcome, latency);
        mObserver.attemptEnded(
                request.target(),
                request.kind(),
                request.orderKey(mPlan.seed()),
                request.attemptKey(mPlan.seed()),
                outcome);
        boolean retry = outcome.mayHaveRun() && request.kind().retryable();
        if (retry && request.attempt() < mPlan.maxRetries()) {
            send(request.retry());
        } else {
            mPending.decrementAndGet();
        }
    }

    void countErrorCode(String code) {
        mReport.countErrorCode(code);
    }

    private Map<NetAddress, LoadPool> pools(EventLoop loop) {
        int connections = Math.max(1, mPlan.maxConnections() / THREADS);
        Map<NetAddress, LoadPool> pools = new HashMap<>();
        for (LoadTarget target : mTargets) {
            for (NetAddress address : target.addresses()) {
                pools.put(address, new LoadPool(loop, address, mPlan, connections, this));
            }
        }
        return pools;
    }

    private void send(LoadRequest request) {
        long turn = request.number() / mTargets.size() + request.attempt();
        List<NetAddress> addresses = request.target().addresses();
        NetAddress address = addresses.get((int) (turn % addresses.size()));
        int thread = (int) (turn / addresses.size() % THREADS);
        LoadPool pool = mPools.get(thread).get(address);
        if (pool == null) {
            throw new IllegalStateException("no pool for " + address);
        }
        mEventLoops.get(thread).execute(() -> pool.send(request));
    }

    private RequestKind drawKind(RandomGenerator random) {
        int total = mPlan.kinds().stream().mapToInt(RequestKind::weight).sum();
        int drawn = random.nextInt(total);
        for (RequestKind kind : mPlan.kinds()) {
            drawn -= kind.weight();
            if (drawn < 0) {
                return kind;
            }
        }
        throw new IllegalStateException("the weights of the request kinds must be positive");
    }

    private void awaitCompletion() {
        long timeoutNanos = mPlan.timeout().toNanos() * (mPlan.maxRetries() + 2);
        long deadline = System.nanoTime() + timeoutNanos;
        while (mPending.get() > 0 && System.nanoTime() - deadline < 0) {
            LockSupport.parkNanos(COMPLETION_POLL_NANOS);
        }
    }

    private static void awaitTime(long due) {
        long remaining = due - System.nanoTime();
        while (remaining > 0) {
            if (remaining > SPIN_NANOS) {
                LockSupport.parkNanos(remaining - SPIN_NANOS);
            } else {
                Thread.onSpinWait();
            }
            remaining = due - System.nanoTime();
        }
    }
}
