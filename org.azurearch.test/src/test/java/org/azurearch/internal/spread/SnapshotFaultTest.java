package org.azurearch.internal.spread;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.fold.ChangeCodec;
import org.azurearch.lib.Digest;
import org.azurearch.spread.ConvergencePolicy;
import org.azurearch.spread.Position;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Restarts of a whole mesh after retention has removed the first records of the log. */
class SnapshotFaultTest {
    private static final long SECOND = 1_000;
    private static final long LIMIT_MILLIS = 30 * SECOND;

    private final FakeMesh mMesh = new FakeMesh(new ConvergencePolicy(), 5);

    @BeforeEach
    void saveTwoSnapshots() {
        mMesh.startNodes("a", 3);
        mMesh.publish("c0");
        mMesh.converge(0, LIMIT_MILLIS);
        mMesh.runUntil(
                "first snapshot", LIMIT_MILLIS, () -> mMesh.mLog.end(FakeMesh.SNAPSHOTS) == 2);
        for (int i = 1; i <= 100; i++) {
            mMesh.publish("c" + i);
        }
        mMesh.converge(100, LIMIT_MILLIS);
        mMesh.runUntil(
                "second snapshot", LIMIT_MILLIS, () -> mMesh.mLog.end(FakeMesh.SNAPSHOTS) == 4);
    }

    private void restartRetainingFrom(long earliest) {
        List<String> names = List.copyOf(mMesh.mNodes.keySet());
        names.forEach(mMesh::kill);
        mMesh.mLog.retainFrom(FakeMesh.CHANGES, earliest);
        mMesh.mTrace.clear();
        names.forEach(name -> mMesh.start("a", name));
    }

    private boolean installedFromLogSnapshot(long offset) {
        return mMesh.mTrace.stream()
                .anyMatch(line -> line.endsWith("installs " + offset + " from LOG_SNAPSHOT"));
    }

    @Test
    void newestSnapshotIsUsed() {
        restartRetainingFrom(101);
        mMesh.converge(100, LIMIT_MILLIS);
        assertTrue(installedFromLogSnapshot(100), mMesh::toString);
    }

    @Test
    void corruptChunkLeadsToTheSnapshotBefore() {
        mMesh.mLog.corrupt(FakeMesh.SNAPSHOTS, 2);
        restartRetainingFrom(1);
        mMesh.converge(100, LIMIT_MILLIS);
        assertTrue(installedFromLogSnapshot(0), mMesh::toString);
    }

    @Test
    void snapshotCutOffHalfWayIsSkipped() {
        restartRetainingFrom(1);
        byte[] chunk = SnapshotRecords.encodeChunk(Digest.of(new byte[] {1}), new byte[] {1});
        mMesh.mLog.append(FakeMesh.SNAPSHOTS, chunk);
        mMesh.converge(100, LIMIT_MILLIS);
        assertTrue(installedFromLogSnapshot(100), mMesh::toString);
    }

    @Test
    void manifestOfMissingChunksIsSkipped() {
        restartRetainingFrom(1);
        Position later = new Position(500, Digest.EMPTY);
        Manifest manifest = new Manifest(later, List.of(Digest.of(new byte[] {9})), 1);
        mMesh.mLog.append(FakeMesh.SNAPSHOTS, SnapshotRecords.encodeManifest(manifest));
        mMesh.converge(100, LIMIT_MILLIS);
        assertTrue(installedFromLogSnapshot(100), mMesh::toString);
    }

    @Test
    void snapshotTruncatedByRetentionIsNotUsedAndTheReasonIsReported() {
        mMesh.mLog.retainFrom(FakeMesh.SNAPSHOTS, 3);
        restartRetainingFrom(101);
        mMesh.run(LIMIT_MILLIS);
        assertTrue(mMesh.allAt(-1), mMesh::toString);
        assertTrue(
                mMesh.mNodes.values().stream()
                        .filter(FakeNode::reader)
                        .allMatch(node -> !node.view().reason().isEmpty()));
    }

    @Test
    void chunkOfAnotherContentIsCorrupt() {
        byte[] content = {1, 2, 3};
        byte[] packed = SnapshotRecords.compress(content, 1);
        assertArrayEquals(content, SnapshotRecords.decompress(Digest.of(content), packed));
        AzurearchException e =
                assertThrows(
                        AzurearchException.class,
                        () -> SnapshotRecords.decompress(Digest.EMPTY, packed));
        assertEquals(ErrorCode.CORRUPT, e.code());
    }

    @Test
    void restartedNodesFetchLargeStateInChunksFromFailingAndBusyPeers() {
        Random random = new Random(1);
        StringBuilder incompressible = new StringBuilder("# ");
        while (incompressible.length() < 1_500_000) {
            incompressible.append(Long.toHexString(random.nextLong()));
        }
        mMesh.mLog.append(
                FakeMesh.CHANGES,
                ChangeCodec.encode(FakeMesh.change("large", 101, 9_000, incompressible + "\n")));
        mMesh.converge(101, LIMIT_MILLIS);
        mMesh.mLog.mDown = true;
        for (int i = 3; i < 30; i++) {
            mMesh.start("a", "a-" + i);
        }
        mMesh.run(310);
        mMesh.kill("a-0");
        mMesh.converge(101, LIMIT_MILLIS);
        mMesh.mNodes.values().stream()
                .filter(node -> node.mInstalled.size() == 1)
                .forEach(node -> assertEquals(101, node.mInstalled.get(0)));
    }

    @Test
    void limiterReturnsTheTimeUntilBytesAreAvailable() {
        ServeLimiter limiter = new ServeLimiter(10, 100, 0);
        assertEquals(0, limiter.tryAcquire(300, 0));
        assertEquals(21, limiter.tryAcquire(1, 0));
        assertEquals(0, limiter.tryAcquire(1, 21_000_000L));
    }
}
