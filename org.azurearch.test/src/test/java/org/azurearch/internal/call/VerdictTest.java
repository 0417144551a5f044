package org.azurearch.internal.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import org.azurearch.internal.call.RawClient.Answer;
import org.azurearch.lib.NetAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the verdict of calls whose exchange with the backend server fails at each stage. */
class VerdictTest {
    private final FakeMesh mMesh = new FakeMesh();
    private RawServer mServer;
    private FakeMesh.Node mEntry;
    private FakeMesh.Node mDestination;

    @BeforeEach
    void start() throws IOException {
        mServer = new RawServer();
        mEntry = mMesh.start("entry");
        mDestination = mMesh.start("destination");
        mDestination.announceBackend(mServer.address(), 20);
    }

    @AfterEach
    void stop() throws IOException {
        mMesh.close();
        mServer.close();
    }

    @Test
    void refusedConnectionIsNotRun() throws IOException {
        mServer.close();
        assertFailure("not-run", order("a"));
    }

    @Test
    void connectionLostAfterTheRequestMayHaveRun() throws IOException {
        mServer.script((request, connection) -> connection.close());
        assertFailure("may-have-run", order("a"));
        assertEquals(1, mServer.runs("a"), "no second run");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 O",
                "HTTP/1.1 200 OK\r\ncontent-le",
                "garbage\r\n\r\n",
                "HTTP/1.1 200 OK\r\n\r\nwithout framing",
                "HTTP/1.1 200 OK\r\ncontent-length: x\r\n\r\n",
                "HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n\r\n"
            })
    void answerWithoutValidHeadMayHaveRun(String bytes) throws IOException {
        mServer.script(
                (request, connection) -> {
                    RawServer.send(connection, bytes);
                    connection.close();
                });
        assertFailure("may-have-run", order("a"));
        assertEquals(1, mServer.runs("a"), "no second run");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n12345",
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n12345\r\n",
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\n",
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n12345\r\n"
            })
    void truncatedAnswerIsNeverCompleteForTheCaller(String bytes) throws IOException {
        mServer.script(
                (request, connection) -> {
                    RawServer.send(connection, bytes);
                    connection.close();
                });
        Answer answer = order("a");
        assertTrue(!answer.complete() || !answer.code().isEmpty(), answer.toString());
        assertTrue(answer.code().isEmpty() || answer.verdict().equals("may-have-run"));
    }

    @Test
    void idempotentRequestIsRetriedOnAnotherServer() throws IOException {
        try (RawServer healthy = new RawServer()) {
            mMesh.start("other").announceBackend(healthy.address(), 20);
            mServer.script((request, connection) -> connection.close());
            for (int i = 0; i < 20; i++) {
                Answer answer = RawClient.call(mEntry.address(), RawClient.get("/stock"));
                assertEquals(200, answer.status(), answer.toString());
            }
        }
    }

    @Test
    void shedRequestIsNotRunOnlyIfTheServerReportsIt() throws IOException {
        mServer.script(
                (request, connection) ->
                        RawServer.send(
                                connection,
                                "HTTP/1.1 503 x\r\nazurearch-verdict: not-run\r\n"
                                        + "retry-after: 2\r\ncontent-length: 0\r\n\r\n"));
        Answer shed = order("a");
        assertFailure("not-run", shed);
        assertEquals("2", shed.header("retry-after"));
        mServer.script(
                (request, connection) ->
                        RawServer.send(connection, "HTTP/1.1 503 x\r\ncontent-length: 0\r\n\r\n"));
        assertEquals("ran", order("a").verdict());
    }

    @Test
    void answerToAnotherRequestIsRejected() throws IOException {
        mServer.script(
                (request, connection) ->
                        RawServer.send(
                                connection,
                                "HTTP/1.1 200 OK\r\nazurearch-call-id: 1\r\n"
                                        + "content-length: 5\r\n\r\nother"));
        assertFailure("may-have-run", order("a"));
    }

    @Test
    void requestIsNotRunIfTheNodeNeverAuthenticates() throws IOException {
        try (ServerSocket silent = new ServerSocket(0)) {
            mDestination.advertise(new NetAddress("127.0.0.1", silent.getLocalPort()));
            Answer answer = order("a");
            assertEquals("not-run", answer.verdict(), answer.toString());
        }
    }

    @Test
    void callEndsAtItsDeadlineAndMayHaveRun() throws IOException {
        mServer.script((request, connection) -> {});
        Answer answer =
                RawClient.call(
                        mEntry.address(),
                        RawClient.post(
                                "/orders", "x", "run-key: a", "azurearch-deadline-millis: 100"));
        assertEquals("deadline-exceeded may-have-run", answer.code() + " " + answer.verdict());
    }

    private Answer order(String key) throws IOException {
        return RawClient.call(
                mEntry.address(), RawClient.post("/orders", "pallet", "run-key: " + key));
    }

    private static void assertFailure(String verdict, Answer answer) {
        assertEquals(verdict, answer.verdict(), answer.toString());
        assertFalse(answer.code().isEmpty(), answer.toString());
        assertEquals("application/problem+json", answer.header("content-type"));
    }
}
