package org.azurearch.internal.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import org.azurearch.internal.call.RawClient.Answer;
import org.azurearch.junit.OddAnswer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against bytes of a backend server in trouble that callers get as a whole answer. */
class OddAnswerTest {
    private final FakeMesh mMesh = new FakeMesh();
    private RawServer mServer;
    private FakeMesh.Node mEntry;

    @BeforeEach
    void start() throws IOException {
        mServer = new RawServer();
        mEntry = mMesh.start("entry");
        mMesh.start("destination").announceBackend(mServer.address(), 20);
    }

    @AfterEach
    void stop() throws IOException {
        mMesh.close();
        mServer.close();
    }

    /** A refusal that is no answer does not tell that the request was not run. */
    @ParameterizedTest
    @EnumSource(OddAnswer.class)
    void callerIsNotToldThatRequestDidNotRun(OddAnswer odd) throws IOException {
        mServer.script(
                (request, connection) -> {
                    RawServer.send(connection, odd.refusalText("azurearch-verdict: not-run\r\n"));
                    connection.close();
                });
        Answer answer =
                RawClient.call(mEntry.address(), RawClient.post("/orders", "pallet", "run-key: a"));
        assertEquals("may-have-run", answer.verdict(), answer.toString());
    }

    /** The body of an answer is passed on as it comes, so that one in chunks breaks off. */
    @ParameterizedTest
    @EnumSource(OddAnswer.class)
    void callerGetsNoWholeAnswer(OddAnswer odd) throws IOException {
        mServer.script(
                (request, connection) -> {
                    RawServer.send(connection, odd.text(""));
                    connection.close();
                });
        Answer answer =
                RawClient.call(mEntry.address(), RawClient.post("/orders", "pallet", "run-key: a"));
        boolean brokenOff = odd.name().startsWith("CHUNK") && !answer.complete();
        if (!brokenOff) {
            assertFalse(answer.code().isEmpty(), "not a failure of the node: " + answer);
            assertEquals("may-have-run", answer.verdict(), answer.toString());
        }
        assertFalse(answer.complete() && answer.body().equals("body"), answer.toString());
    }
}
