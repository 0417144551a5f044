package org.azurearch.internal.spread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.fold.Change;
import org.azurearch.fold.ChangeCodec;
import org.azurearch.fold.ChangeOutcome;
import org.azurearch.fold.Folds;
import org.azurearch.lib.ChangeId;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.NodeId;
import org.azurearch.spread.BytesPolicy;
import org.azurearch.spread.ChangeProgress;
import org.azurearch.spread.ConvergencePolicy;
import org.azurearch.spread.StateSource;
import org.junit.jupiter.api.Test;

class SpreadFaultTest {
    private static final long SEED = 20261203L;
    private static final long SECOND = 1_000;
    private static final long MINUTE = 60 * SECOND;
    private static final long HOUR = 60 * MINUTE;
    private static final long TARGET_MILLIS = 4 * SECOND;

    private final FakeMesh mMesh = new FakeMesh(new ConvergencePolicy(), SEED);

    private void startThreeDataCentres() {
        mMesh.startNodes("a", 6);
        mMesh.startNodes("b", 6);
        mMesh.startNodes("c", 6);
        mMesh.publish("c0");
        mMesh.converge(0, 10 * SECOND);
        mMesh.run(10 * SECOND);
    }

    private static Change change(String id, long expectedVersion, int deadlineMillis) {
        return FakeMesh.change(id, expectedVersion, deadlineMillis);
    }

    private ChangeProgress progress(String node, String change) {
        CompletableFuture<ChangeProgress> answer =
                mMesh.mNodes
                        .get(node)
                        .changeService()
                        .progress(FakeMesh.FIRM, ChangeId.fromString(change));
        mMesh.runUntil("progress", 5 * SECOND, answer::isDone);
        return answer.join();
    }

    @Test
    void changeReachesEveryNodeAndOnlyReadersReadTheLog() {
        mMesh.startNodes("a", 20);
        mMesh.startNodes("b", 20);
        mMesh.publish("c1");
        mMesh.converge(0, 10 * SECOND);
        mMesh.run(10 * SECOND);
        mMesh.mLog.mReadersOfChanges.clear();
        mMesh.publish("c2");
        long elapsedMillis = mMesh.converge(1, TARGET_MILLIS);
        mMesh.run(MINUTE);
        assertTrue(elapsedMillis <= 100, elapsedMillis + " ms");
        assertTrue(mMesh.mNodes.values().stream().noneMatch(node -> node.mPositionPublishedEarly));
        assertEquals(
                4, mMesh.mLog.mReadersOfChanges.size(), mMesh.mLog.mReadersOfChanges::toString);
    }

    @Test
    void ofTwoConflictingChangesEveryNodeAcceptsTheSameOne() {
        startThreeDataCentres();
        CompletableFuture<Long> first =
                mMesh.mNodes.get("a-1").changeService().submit(change("x", 1, 300));
        CompletableFuture<Long> second =
                mMesh.mNodes.get("b-2").changeService().submit(change("y", 1, 400));
        mMesh.converge(2, TARGET_MILLIS);
        String accepted = first.join() < second.join() ? "x" : "y";
        String refused = accepted.equals("x") ? "y" : "x";
        for (FakeNode node : mMesh.mNodes.values()) {
            ChangeOutcome outcome =
                    node.changeService()
                            .state()
                            .outcome(FakeMesh.FIRM, ChangeId.fromString(refused))
                            .orElseThrow();
            assertEquals(ChangeOutcome.Status.REFUSED_CONFLICT, outcome.status());
            assertEquals(ChangeId.fromString(accepted), outcome.conflictsWith().orElseThrow());
        }
    }

    @Test
    void lostAppendAnswerIsRetriedAndTakesEffectOnce() {
        startThreeDataCentres();
        mMesh.mLog.mLoseNextAppendReply = true;
        CompletableFuture<Long> offset =
                mMesh.mNodes.get("a-1").changeService().submit(change("lost", 1, 500));
        mMesh.runUntil("answer", 10 * SECOND, offset::isDone);
        mMesh.run(TARGET_MILLIS);
        assertEquals(
                1,
                mMesh.mNodes
                        .get("c-1")
                        .changeService()
                        .state()
                        .outcome(FakeMesh.FIRM, ChangeId.fromString("lost"))
                        .orElseThrow()
                        .offset());
        assertEquals(
                2, mMesh.mNodes.get("c-1").changeService().state().version(FakeMesh.FIRM).number());
    }

    @Test
    void equalChangeIdsOfTwoFirmsAreSeparateChanges() {
        startThreeDataCentres();
        FirmId other = FirmId.fromString("korero");
        Change own = change("c0", 0, 500);
        Change sameIdOfOtherFirm =
                new Change(
                        own.id(),
                        own.kind(),
                        other,
                        own.operator(),
                        own.ruleSet(),
                        0,
                        own.documents(),
                        List.of(),
                        0,
                        "",
                        0);
        CompletableFuture<Long> offset =
                mMesh.mNodes.get("a-1").changeService().submit(sameIdOfOtherFirm);
        mMesh.runUntil("answer", 10 * SECOND, offset::isDone);
        mMesh.run(TARGET_MILLIS);
        assertEquals(1, offset.join());
        assertEquals(1, mMesh.mNodes.get("c-1").changeService().state().history(other).size());
    }

    @Test
    void changeThatTheLogRefusesIsCertainlyNotAppended() {
        startThreeDataCentres();
        mMesh.mLog.mDown = true;
        CompletableFuture<Long> offset =
                mMesh.mNodes.get("a-1").changeService().submit(change("refused", 1, 500));
        mMesh.runUntil("answer", 20 * SECOND, offset::isDone);
        AzurearchException e =
                (AzurearchException) offset.handle((done, failure) -> failure).join().getCause();
        assertEquals(ErrorCode.LOG_UNAVAILABLE, e.code());
        assertEquals(ChangeProgress.Status.UNKNOWN, progress("a-1", "refused").status());
    }

    @Test
    void logOutageOfHoursWithChurnKeepsEveryNodeServing() {
        FakeMesh mesh = new FakeMesh(new BytesPolicy(), SEED);
        mesh.startNodes("a", 4);
        mesh.startNodes("b", 4);
        mesh.publish("c0");
        mesh.converge(0, 10 * SECOND);
        mesh.mLog.mDown = true;
        for (String name : List.copyOf(mesh.mNodes.keySet())) {
            mesh.kill(name);
            mesh.run(20 * MINUTE);
            mesh.start(name.substring(0, 1), name);
            mesh.converge(0, 10 * SECOND);
        }
        mesh.mLog.mDown = false;
        mesh.publish("after");
        mesh.converge(1, 2 * TARGET_MILLIS);
    }

    @Test
    void snapshotsAreRenewedBeforeRetentionWithoutOneForEachReader() {
        FakeMesh mesh = new FakeMesh(new BytesPolicy(), SEED);
        mesh.startNodes("a", 3);
        mesh.startNodes("b", 3);
        mesh.publish("c0");
        mesh.run(3 * HOUR);
        int snapshots = mesh.mLog.end(FakeMesh.SNAPSHOTS) / 2;
        assertTrue(snapshots >= 5 && snapshots <= 8, snapshots + " snapshots");
    }

    @Test
    void failureOfBothReadersDelaysChangesByNoMoreThanTheTarget() {
        startThreeDataCentres();
        List<String> readers =
                mMesh.mNodes.values().stream()
                        .filter(node -> node.view().reader() && node.mName.startsWith("a"))
                        .map(node -> node.mName)
                        .toList();
        mMesh.publish("c1");
        mMesh.run(3);
        readers.forEach(mMesh::kill);
        mMesh.converge(1, TARGET_MILLIS);
    }

    @Test
    void silentReadersDelayNoOtherNode() {
        startThreeDataCentres();
        List<FakeNode> silent =
                mMesh.mNodes.values().stream().filter(FakeNode::reader).limit(3).toList();
        silent.forEach(node -> node.mSilent = true);
        mMesh.publish("c1");
        mMesh.runUntil(
                "all but the silent nodes",
                TARGET_MILLIS,
                () ->
                        mMesh.mNodes.values().stream()
                                .allMatch(node -> node.mSilent || node.offset() == 1));
    }

    @Test
    void pushesLostByEveryNodeAreRecoveredWithinTheTargetUnderTheBytesPolicy() {
        FakeMesh mesh = new FakeMesh(new BytesPolicy(), SEED);
        mesh.startNodes("a", 12);
        mesh.publish("c0");
        mesh.converge(0, 10 * SECOND);
        for (int i = 1; i <= 10; i++) {
            mesh.publish("c" + i);
            mesh.run(5);
            mesh.mLoss = 1;
            mesh.run(600);
            mesh.mLoss = 0;
            mesh.converge(i, TARGET_MILLIS);
            mesh.run(10 * SECOND);
        }
    }

    @Test
    void dataCentreCutOffFromTheLogGetsChangesThroughNeighbours() {
        startThreeDataCentres();
        mMesh.mLogCut = node -> node.mName.startsWith("a");
        mMesh.run(MINUTE);
        mMesh.publish("c1");
        mMesh.converge(1, TARGET_MILLIS);
        assertTrue(
                mMesh.mNodes.values().stream()
                        .filter(node -> node.reader() && node.mName.startsWith("a"))
                        .allMatch(node -> node.view().reason().contains("the log is down")),
                mMesh::toString);
    }

    @Test
    void dataCentreCutOffFromOthersReadsTheLogItself() {
        startThreeDataCentres();
        cutLinksOf("a");
        mMesh.publish("c1");
        mMesh.converge(1, TARGET_MILLIS);
    }

    @Test
    void dataCentreCutOffFromBothKeepsItsVersionAndCatchesUp() {
        startThreeDataCentres();
        cutLinksOf("a");
        mMesh.mLogCut = node -> node.mName.startsWith("a");
        mMesh.publish("c1");
        mMesh.run(5 * MINUTE);
        for (FakeNode node : mMesh.mNodes.values()) {
            assertEquals(node.mName.startsWith("a") ? 0 : 1, node.offset(), mMesh::toString);
        }
        ChangeProgress progress = progress("b-1", "c1");
        assertEquals(ChangeProgress.Status.ACCEPTED, progress.status());
        assertTrue(progress.dataCentres().get(0).silentSinceMillis() > 0, progress::toString);
        assertEquals(6, progress.dataCentres().get(0).laggards().size());
        mMesh.mLogCut = node -> false;
        mMesh.mLinkCut = (one, other) -> false;
        mMesh.membersChanged();
        mMesh.converge(1, 10 * SECOND);
        mMesh.run(10 * SECOND);
        assertEquals(ChangeProgress.Status.IN_FORCE, progress("b-1", "c1").status());
    }

    @Test
    void manyRestartedNodesAreServedByPeersWithoutTheLog() {
        mMesh.startNodes("a", 60);
        mMesh.publish("c0");
        mMesh.converge(0, 10 * SECOND);
        mMesh.run(10 * SECOND);
        for (int i = 3; i < 60; i++) {
            mMesh.kill("a-" + i);
        }
        mMesh.mLog.mReadersOfChanges.clear();
        mMesh.mLog.mDown = true;
        for (int i = 3; i < 60; i++) {
            mMesh.start("a", "a-" + i);
        }
        mMesh.converge(0, 15 * SECOND);
        assertTrue(
                mMesh.mLog.mReadersOfChanges.size() <= 4, mMesh.mLog.mReadersOfChanges::toString);
    }

    @Test
    void wholeMeshRestartsFromSnapshotAfterRetentionHasPassed() {
        startThreeDataCentres();
        for (int i = 1; i <= 5; i++) {
            mMesh.publish("c" + i);
            mMesh.run(SECOND);
        }
        mMesh.run(mMesh.mSettings.renewAfter().toMillis() + MINUTE);
        assertTrue(mMesh.mLog.end(FakeMesh.SNAPSHOTS) > 0);
        List<String> names = List.copyOf(mMesh.mNodes.keySet());
        names.forEach(mMesh::kill);
        mMesh.mLog.retainFrom(FakeMesh.CHANGES, 5);
        names.forEach(name -> mMesh.start(name.substring(0, 1), name));
        mMesh.publish("c6");
        mMesh.converge(6, 20 * SECOND);
        assertTrue(
                mMesh.mTrace.stream()
                        .anyMatch(line -> line.endsWith(StateSource.LOG_SNAPSHOT.name())));
    }

    @Test
    void wholeMeshWithoutLogAndStateIsNotReadyAndReportsTheReason() {
        mMesh.mLog.mDown = true;
        mMesh.startNodes("a", 3);
        mMesh.run(MINUTE);
        FakeNode reader = mMesh.mNodes.values().stream().filter(FakeNode::reader).findAny().get();
        assertEquals(-1, reader.offset());
        assertTrue(reader.view().reason().contains("log-unavailable"), mMesh::toString);
        mMesh.mLog.mDown = false;
        mMesh.publish("c0");
        mMesh.converge(0, 20 * SECOND);
    }

    @Test
    void unknownRuleSetStopsEveryNodeAtTheLastOffsetItCanFold() {
        startThreeDataCentres();
        mMesh.publish("c1");
        for (int ruleSet = 2; ruleSet <= Folds.NEWEST_RULE_SET + 1; ruleSet++) {
            Change raise =
                    FakeMesh.change(
                            "raise-" + ruleSet, Change.Kind.RAISE_RULE_SET, ruleSet, 2, List.of());
            mMesh.mLog.append(FakeMesh.CHANGES, ChangeCodec.encode(raise));
        }
        mMesh.publish("c2");
        mMesh.run(MINUTE);
        assertTrue(mMesh.allAt(Folds.NEWEST_RULE_SET), mMesh::toString);
        assertTrue(
                mMesh.mNodes.values().stream()
                        .filter(FakeNode::reader)
                        .allMatch(node -> node.view().reason().contains("unknown-rule-set")),
                mMesh::toString);
    }

    @Test
    void nodeWithoutTheChangeIsReportedAsLaggard() {
        startThreeDataCentres();
        FakeNode silent =
                mMesh.mNodes.values().stream().filter(node -> !node.reader()).findAny().get();
        silent.mSilent = true;
        mMesh.publish("c1");
        mMesh.run(TARGET_MILLIS);
        String observer = silent.mName.startsWith("b") ? "a-1" : "b-1";
        ChangeProgress progress = progress(observer, "c1");
        assertEquals(ChangeProgress.Status.ACCEPTED, progress.status());
        assertEquals(
                List.of(NodeId.fromString(silent.mName)),
                progress.dataCentres().stream().flatMap(each -> each.laggards().stream()).toList());
    }

    private void cutLinksOf(String dataCentre) {
        mMesh.mLinkCut =
                (one, other) ->
                        one.mName.startsWith(dataCentre) != other.mName.startsWith(dataCentre);
        mMesh.membersChanged();
    }
}
