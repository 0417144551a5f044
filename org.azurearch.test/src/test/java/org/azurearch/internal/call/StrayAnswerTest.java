package org.azurearch.internal.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.azurearch.internal.call.RawClient.Answer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against bytes of a backend server that are taken for the answer to another request. */
class StrayAnswerTest {
    private static final int CALLS = 8;

    /** More than the nodes have event loops, each of which has connections of its own. */
    private static final int REUSING_CALLS = 64;

    private static final String REFUSAL =
            "HTTP/1.1 503 x\r\nazurearch-verdict: not-run\r\ncontent-length: 0\r\n\r\n";

    private final FakeMesh mMesh = new FakeMesh();
    private final AtomicInteger mCalls = new AtomicInteger();
    private final Set<Socket> mUsed = ConcurrentHashMap.newKeySet();
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

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 503 x\r\nazurearch-verdict: not-run\r\nx: a",
                "HTTP/1.1 503 x\r\nazurearch-verdict: not-run\r\n",
                "HTTP/1.1 503 x\r\nazurearch-verdict: not-run\r\nretry-af",
                "HTTP/1.1 503 x",
            })
    void partOfRefusalIsNeverJoinedWithTheNextAnswer(String part) throws IOException {
        mServer.script(
                (request, connection) -> {
                    boolean first = mCalls.getAndIncrement() == 0;
                    RawServer.send(connection, first ? "" : part);
                    RawServer.sendOk(connection, request.path());
                });
        for (int i = 0; i < CALLS; i++) {
            Answer answer = order("k" + i);
            assertNotEquals("not-run", answer.verdict(), answer.toString());
            assertNotEquals(503, answer.status(), answer.toString());
        }
    }

    @Test
    void partOfRefusalBehindAnAnswerIsNeverJoinedWithTheNextAnswer() throws IOException {
        mServer.script(
                (request, connection) ->
                        RawServer.send(
                                connection,
                                "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
                                        + "HTTP/1.1 503 x\r\nazurearch-verdict: not-run\r\nx: a"));
        for (int i = 0; i < CALLS; i++) {
            Answer answer = order("k" + i);
            assertNotEquals("not-run", answer.verdict(), answer.toString());
        }
    }

    @Test
    void copyOfRefusalWithoutIdNeverRefusesTheNextRequest() throws IOException {
        mServer.script(
                (request, connection) -> {
                    boolean first = mUsed.add(connection);
                    mCalls.addAndGet(first ? 0 : 1);
                    RawServer.send(connection, REFUSAL);
                    if (!first) {
                        RawServer.sendOk(connection, request.path());
                    }
                });
        for (int i = 0; i < REUSING_CALLS; i++) {
            int ran = mCalls.get();
            Answer answer = order("k" + i);
            String verdict = mCalls.get() > ran ? "may-have-run" : "not-run";
            assertEquals(verdict, answer.verdict(), answer.toString());
        }
        assertTrue(mCalls.get() > 0, "no connection was used again");
    }

    @Test
    void copyWithoutIdIsNeverTakenForTheAnswerOfServerThatNamesIds() throws IOException {
        mServer.script(
                (request, connection) -> {
                    if (!mUsed.add(connection)) {
                        mCalls.incrementAndGet();
                        RawServer.sendOk(connection, "earlier");
                    }
                    sendNamed(request, connection);
                });
        for (int i = 0; i < REUSING_CALLS; i++) {
            Answer answer = order("k" + i);
            assertNotEquals("earlier", answer.body(), answer.toString());
        }
        assertTrue(mCalls.get() > 0, "no connection was used again");
    }

    @Test
    void copyBehindAnAnswerIsNeverTakenForTheNextAnswer() throws IOException {
        mServer.script(
                (request, connection) -> {
                    String answer =
                            "HTTP/1.1 200 OK\r\ncontent-length: "
                                    + request.path().length()
                                    + "\r\n\r\n"
                                    + request.path();
                    RawServer.send(connection, answer + answer);
                });
        try (RawClient client = new RawClient(mEntry.address())) {
            StringBuilder requests = new StringBuilder();
            for (int i = 0; i < CALLS; i++) {
                requests.append(RawClient.get("/stock/" + i));
            }
            client.send(requests.toString());
            for (int i = 0; i < CALLS; i++) {
                Answer answer = client.read();
                assertTrue(
                        answer.status() != 200 || answer.body().equals("/stock/" + i),
                        answer.toString());
            }
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void answerThatBreaksOffInItsHeadIsNeverWhole(boolean reset) throws IOException {
        String head = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nx-a: b\r\n\r\n";
        mServer.script(
                (request, connection) -> {
                    int cut = mCalls.incrementAndGet() % head.length();
                    RawServer.send(connection, head.substring(0, cut));
                    connection.setSoLinger(reset, 0);
                    connection.close();
                });
        for (int i = 0; i < head.length(); i++) {
            Answer answer = order("k" + i);
            assertNotEquals(200, answer.status(), answer.toString());
            assertNotEquals("ran", answer.verdict(), answer.toString());
        }
    }

    private static void sendNamed(RawServer.Request request, Socket connection) throws IOException {
        RawServer.send(
                connection,
                "HTTP/1.1 200 OK\r\nazurearch-call-id: "
                        + request.header("azurearch-call-id")
                        + "\r\ncontent-length: 0\r\n\r\n");
    }

    private Answer order(String key) throws IOException {
        return RawClient.call(
                mEntry.address(), RawClient.post("/orders", "pallet", "run-key: " + key));
    }
}
