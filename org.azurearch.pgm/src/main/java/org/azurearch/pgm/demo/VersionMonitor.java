package org.azurearch.pgm.demo;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import org.azurearch.admin.ReadinessReport;
import org.azurearch.errors.AzurearchException;
import org.azurearch.lib.FirmId;

/** Looks at the version in force on every node, again and again. */
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

    /** Returns how often a node was seen with a lower version than before. */
    long regressionCount() {
        return mRegressions.sum();
    }

    /** Returns how often a node was looked at. */
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
            return; // not started, stopping, or without a configuration: it holds no version
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
