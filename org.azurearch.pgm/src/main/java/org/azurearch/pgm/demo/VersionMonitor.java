package org.azurearch.pgm.demo;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import org.azurearch.admin.ReadinessReport;
import org.azurearch.errors.AzurearchException;
import org.azurearch.lib.FirmId;

/** Polls the version in force on every node and counts regressions to a lower one. */
final class VersionMonitor implements AutoCloseable {
    private static final Duration SAMPLE_PAUSE = Duration.ofMillis(50);

    private final DemoMesh mMesh;
    private final Map<String, Long> mHighest = new HashMap<>();
    private final LongAdder mRegressions = new LongAdder();
    private final LongAdder mSamples = new LongAdder();
    private final Thread mThread = new Thread(this::sampleUntilClosed, "demo-version-watch");
    private volatile boolean mClosed;

    VersionMonitor(DemoMesh mesh) {
        mMesh = mesh;
        mThread.setDaemon(true);
        mThread.start();
    }

    /** Returns how often a node reported a lower version than before. */
    long regressionCount() {
        return mRegressions.sum();
    }

    /** Returns the number of versions read. */
    long sampleCount() {
        return mSamples.sum();
    }

    @Override
    public void close() {
        mClosed = true;
        try {
            mThread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void sampleUntilClosed() {
        while (!mClosed) {
            mMesh.vms().forEach(this::sample);
            LockSupport.parkNanos(SAMPLE_PAUSE.toNanos());
        }
    }

    private void sample(DemoVm vm) {
        ReadinessReport report;
        try {
            report = mMesh.client(vm).get("/v1/readiness", ReadinessReport.class);
        } catch (AzurearchException e) {
            return; // the node is starting or stopping, or has no configuration yet
        }
        mSamples.increment();
        FirmId firm = mMesh.plan().firm();
        long version = report.versions().getOrDefault(firm.name(), 0L);
        long before = mHighest.merge(vm.plan().name(), version, Math::max);
        if (version < before) {
            mRegressions.increment();
        }
    }
}
