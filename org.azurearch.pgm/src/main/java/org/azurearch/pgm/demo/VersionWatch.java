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
final class VersionWatch implements AutoCloseable {
    private static final Duration PAUSE = Duration.ofMillis(50);

    private final DemoMesh mMesh;
    private final Map<String, Long> mHighest = new HashMap<>();
    private final LongAdder mWentBack = new LongAdder();
    private final LongAdder mLooks = new LongAdder();
    private final Thread mThread = new Thread(this::run, "demo-version-watch");
    private volatile boolean mClosed;

    VersionWatch(DemoMesh mesh) {
        mMesh = mesh;
        mThread.setDaemon(true);
        mThread.start();
    }

    /** Returns how often a node was seen with a lower version than before. */
    long wentBack() {
        return mWentBack.sum();
    }

    /** Returns how often a node was looked at. */
    long looks() {
        return mLooks.sum();
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

    private void run() {
        while (!mClosed) {
            mMesh.vms().forEach(this::look);
            LockSupport.parkNanos(PAUSE.toNanos());
        }
    }

    private void look(DemoVm vm) {
        ReadinessReport report;
        try {
            report = mMesh.client(vm).get("/v1/readiness", ReadinessReport.class);
        } catch (AzurearchException e) {
            return; // not started, stopping, or without a configuration: it holds no version
        }
        mLooks.increment();
        FirmId firm = mMesh.plan().firm();
        long version = report.versions().getOrDefault(firm.name(), 0L);
        long before = mHighest.merge(vm.plan().name(), version, Math::max);
        if (version < before) {
            mWentBack.increment();
        }
    }
}
