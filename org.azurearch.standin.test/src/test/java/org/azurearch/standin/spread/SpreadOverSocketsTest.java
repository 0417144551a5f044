package org.azurearch.standin.spread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.azurearch.fold.Change;
import org.azurearch.fold.ChangeOutcome;
import org.azurearch.fold.Document;
import org.azurearch.fold.DocumentName;
import org.azurearch.junit.Await;
import org.azurearch.lib.ChangeId;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.OperatorId;
import org.azurearch.spread.ChangeProgress;
import org.azurearch.standin.log.LogFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class SpreadOverSocketsTest {
    private static final FirmId FIRM = FirmId.fromString("regie");
    private static final String BASE =
            """
            azurearch: 1
            kind: base
            firm: regie
            classes: {interactive: {priority: 1}}
            policies: {read: {attempts: 2}}
            services: {stock: {slots: 20, connections: 100}}
            routes:
              check-stock: {path: /stock, service: stock, class: interactive, policy: read,
                            deadline: %ds}
            """;

    private final SpreadMesh mMesh = new SpreadMesh();

    @BeforeEach
    void startTwoDataCentres() {
        for (String dataCentre : List.of("a", "b")) {
            for (int i = 0; i < 4; i++) {
                mMesh.start(dataCentre, dataCentre + i);
            }
        }
    }

    @AfterEach
    void stop() {
        mMesh.close();
    }

    private static Change change(String id, long expected, int deadlineSeconds) {
        byte[] text = BASE.formatted(deadlineSeconds).getBytes(StandardCharsets.UTF_8);
        return new Change(
                ChangeId.fromString(id),
                Change.Kind.PUBLISH,
                FIRM,
                OperatorId.fromString("ana"),
                1,
                expected,
                List.of(Document.of(DocumentName.BASE, "base.yaml", text)),
                List.of(),
                0,
                "",
                0);
    }

    private boolean inForce(SpreadMesh.Node node, String change) {
        ChangeProgress progress = node.changes().progress(FIRM, ChangeId.fromString(change)).join();
        return progress.status() == ChangeProgress.Status.IN_FORCE;
    }

    @Test
    void changesComeIntoForceDespiteLogOutageAndRestarts() {
        SpreadMesh.Node first = mMesh.mNodes.get(0);
        assertEquals(0, first.changes().submit(change("c0", 0, 1)).join());
        Await.until("all nodes reach c0", () -> mMesh.allAtOffset(0));
        Await.until("c0 is reported in force", () -> inForce(first, "c0"));
        assertTrue(mMesh.mNodes.stream().allMatch(node -> node.status().ready()));

        mMesh.mLog.setFault(LogFault.DOWN);
        for (String name : List.of("b1", "b2", "b3")) {
            mMesh.stop(
                    mMesh.mNodes.stream()
                            .filter(node -> node.mName.equals(name))
                            .findAny()
                            .orElseThrow());
            mMesh.start("b", name);
        }
        Await.until("restarted nodes get the state from peers", () -> mMesh.allAtOffset(0));

        mMesh.mLog.setFault(LogFault.NONE);
        Await.until(
                "the log accepts c1", () -> first.changes().submit(change("c1", 1, 2)).join() > 0);
        Await.until("all nodes reach c1", () -> mMesh.allAtOffset(1));
        ChangeOutcome outcome =
                mMesh.mNodes
                        .get(4)
                        .changes()
                        .state()
                        .outcome(FIRM, ChangeId.fromString("c1"))
                        .orElseThrow();
        assertEquals(ChangeOutcome.Status.ACCEPTED, outcome.status());
    }
}
