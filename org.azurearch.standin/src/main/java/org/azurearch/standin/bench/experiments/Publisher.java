package org.azurearch.standin.bench.experiments;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;
import org.azurearch.fold.Change;
import org.azurearch.standin.bench.mesh.BenchMesh;
import org.azurearch.standin.bench.mesh.MeshNode;
import org.azurearch.standin.bench.mesh.SampleDocuments;
import org.azurearch.time.SystemTimeSource;
import org.azurearch.time.TimeSource;

/** Publishes changes to a mesh one at a time and records how long they take. */
final class Publisher {
    private static final Duration IN_FORCE_TIMEOUT = Duration.ofSeconds(60);
    private static final long MAX_MICROS = 120_000_000L;
    private static final long NANOS_PER_MICRO = 1_000L;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final TimeSource mTime = new SystemTimeSource();
    private final Histogram mInForceMicros = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    private final Histogram mAppendMicros = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    private final BenchMesh mMesh;
    private final SampleDocuments mDocuments;
    private int mVariant;

    Publisher(BenchMesh mesh, SampleDocuments documents) {
        mMesh = mesh;
        mDocuments = documents;
    }

    /**
     * Publishes the first version and waits until it is in force on every node; records no time.
     */
    void publishFirst() {
        long offset =
                publishingNode()
                        .changes()
                        .submit(mDocuments.firstChange(mTime.wallMillis()))
                        .join();
        mMesh.awaitInForce(offset, IN_FORCE_TIMEOUT);
    }

    /**
     * Publishes changes and records the time until each is in force on every node.
     *
     * @param count number of changes
     * @param changedServices number of services that each change touches
     * @param interval least time between the starts of two changes
     */
    void publishChanges(int count, int changedServices, Duration interval) {
        for (int number = 0; number < count; number++) {
            long start = mTime.nanos();
            publishTimed(changedServices);
            long remainingNanos = interval.toNanos() - (mTime.nanos() - start);
            if (remainingNanos > 0) {
                LockSupport.parkNanos(remainingNanos);
            }
        }
    }

    /** Returns the times from submission to being in force, one value per node and change. */
    Histogram inForceMicros() {
        return mInForceMicros;
    }

    /** Returns the times from submission to the completed append, one value per change. */
    Histogram appendMicros() {
        return mAppendMicros;
    }

    private void publishTimed(int changedServices) {
        mVariant++;
        MeshNode publishingNode = publishingNode();
        long version = publishingNode.changes().state().version(mDocuments.firm()).number();
        Change change =
                mDocuments.nextChange(mVariant, changedServices, version, mTime.wallMillis());
        long start = mTime.nanos();
        long offset = publishingNode.changes().submit(change).join();
        mAppendMicros.recordValue((mTime.nanos() - start) / NANOS_PER_MICRO);
        mMesh.awaitInForce(offset, IN_FORCE_TIMEOUT);
        for (MeshNode node : mMesh.nodes()) {
            long micros = (node.inForceNanos(offset) - start) / NANOS_PER_MICRO;
            mInForceMicros.recordValue(Math.min(MAX_MICROS, Math.max(0, micros)));
        }
    }

    private MeshNode publishingNode() {
        return mMesh.nodes().get(0);
    }
}
