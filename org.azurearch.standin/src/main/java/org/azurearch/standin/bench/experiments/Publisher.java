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

/** Publishes changes to a mesh one after the other and times them. */
final class Publisher {
    private static final Duration MOST_WAIT = Duration.ofSeconds(60);
    private static final long MAX_MICROS = 120_000_000L;
    private static final long NANOS_PER_MICRO = 1_000L;
    private static final int DIGITS = 3;

    private final TimeSource mTime = new SystemTimeSource();
    private final Histogram mInForceMicros = new Histogram(MAX_MICROS, DIGITS);
    private final Histogram mAppendMicros = new Histogram(MAX_MICROS, DIGITS);
    private final BenchMesh mMesh;
    private final SampleDocuments mDocuments;
    private int mVariant;

    Publisher(BenchMesh mesh, SampleDocuments documents) {
        mMesh = mesh;
        mDocuments = documents;
    }

    /** Publishes the first version and waits until it is in force everywhere; it is not timed. */
    void first() {
        long offset = desk().desk().submit(mDocuments.first(mTime.wallMillis())).join();
        mMesh.awaitInForce(offset, MOST_WAIT);
    }

    /** Publishes changes at a steady pace, each timed until it is in force on every node. */
    void changes(int count, int size, Duration interval) {
        for (int number = 0; number < count; number++) {
            long start = mTime.nanos();
            timedChange(size);
            long left = interval.toNanos() - (mTime.nanos() - start);
            if (left > 0) {
                LockSupport.parkNanos(left);
            }
        }
    }

    /** Returns the time from handing in to being in force, one value for each node and change. */
    Histogram inForceMicros() {
        return mInForceMicros;
    }

    /** Returns the time that the log took for the append. */
    Histogram appendMicros() {
        return mAppendMicros;
    }

    private void timedChange(int size) {
        mVariant++;
        MeshNode desk = desk();
        long version = desk.desk().state().version(mDocuments.firm()).number();
        Change change = mDocuments.next(mVariant, size, version, mTime.wallMillis());
        long start = mTime.nanos();
        long offset = desk.desk().submit(change).join();
        mAppendMicros.recordValue((mTime.nanos() - start) / NANOS_PER_MICRO);
        mMesh.awaitInForce(offset, MOST_WAIT);
        for (MeshNode node : mMesh.nodes()) {
            long micros = (node.inForceNanos(offset) - start) / NANOS_PER_MICRO;
            mInForceMicros.recordValue(Math.min(MAX_MICROS, Math.max(0, micros)));
        }
    }

    private MeshNode desk() {
        return mMesh.nodes().get(0);
    }
}
