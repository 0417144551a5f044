package org.azurearch.internal.spread;

import java.util.List;
import org.approvaltests.Approvals;
import org.azurearch.spread.BytesPolicy;
import org.azurearch.spread.ConvergencePolicy;
import org.junit.jupiter.api.Test;

/**
 * Approval tests of whole sessions: which node reaches which offset from which source, and when, in
 * milliseconds.
 */
class SpreadSessionTest {
    private static final long SECOND = 1_000;
    private static final long TARGET_MILLIS = 4 * SECOND;

    private FakeMesh startedMesh() {
        FakeMesh mesh = new FakeMesh(new ConvergencePolicy(), 42);
        mesh.startNodes("a", 3);
        mesh.startNodes("b", 3);
        mesh.publish("c0");
        mesh.converge(0, 10 * SECOND);
        mesh.run(10 * SECOND);
        return mesh;
    }

    @Test
    void startAndOneChange() {
        FakeMesh mesh = startedMesh();
        mesh.publish("c1");
        mesh.converge(1, TARGET_MILLIS);
        Approvals.verify(mesh);
    }

    @Test
    void crossedAndLateUpdates() {
        FakeMesh mesh = startedMesh();
        mesh.mLoss = 0.3;
        mesh.mDuplicates = 0.5;
        mesh.publish("c1");
        mesh.run(11);
        mesh.publish("c2");
        mesh.run(3);
        mesh.publish("c3");
        mesh.converge(3, 3 * TARGET_MILLIS);
        Approvals.verify(mesh);
    }

    @Test
    void cutFromTheLogThenFromTheOthersThenHealed() {
        FakeMesh mesh = startedMesh();
        mesh.mLogCut = node -> node.mName.startsWith("a");
        mesh.trace("a is cut off from the log");
        mesh.run(10 * SECOND);
        mesh.publish("c1");
        mesh.converge(1, TARGET_MILLIS);
        mesh.mLinkCut = (one, other) -> one.mName.startsWith("a") != other.mName.startsWith("a");
        mesh.membersChanged();
        mesh.trace("a is cut off from b too");
        mesh.publish("c2");
        mesh.run(60 * SECOND);
        mesh.trace(mesh.mNodes.get("a-0").toString());
        mesh.mLinkCut = (one, other) -> false;
        mesh.membersChanged();
        mesh.trace("a reaches b again");
        mesh.converge(2, TARGET_MILLIS);
        mesh.mLogCut = node -> false;
        mesh.trace("a reaches the log again");
        mesh.run(10 * SECOND);
        Approvals.verify(mesh);
    }

    @Test
    void wholeDataCentreRestartsWhileTheLogIsDown() {
        FakeMesh mesh = startedMesh();
        mesh.mLog.mDown = true;
        mesh.trace("the log goes down and a restarts");
        List<String> names = List.of("a-0", "a-1", "a-2");
        names.forEach(mesh::kill);
        mesh.run(SECOND);
        names.forEach(name -> mesh.start("a", name));
        mesh.converge(0, 10 * SECOND);
        mesh.mLog.mDown = false;
        mesh.publish("c1");
        mesh.trace("the log is up and contains c1");
        mesh.converge(1, 3 * TARGET_MILLIS);
        Approvals.verify(mesh);
    }

    @Test
    void nodeRestartsBehindRetention() {
        FakeMesh mesh = new FakeMesh(new BytesPolicy(), 43);
        mesh.startNodes("a", 3);
        mesh.publish("c0");
        mesh.converge(0, 20 * SECOND);
        mesh.kill("a-0");
        for (int i = 1; i <= 150; i++) {
            mesh.publish("c" + i);
        }
        mesh.converge(150, 20 * SECOND);
        mesh.mLog.retainFrom(FakeMesh.CHANGES, 140);
        mesh.mTrace.clear();
        mesh.trace("a-0 starts again");
        mesh.start("a", "a-0");
        mesh.converge(150, 20 * SECOND);
        Approvals.verify(mesh);
    }
}
