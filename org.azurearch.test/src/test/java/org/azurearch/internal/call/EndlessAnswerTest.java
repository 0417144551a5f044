package org.azurearch.internal.call;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import org.azurearch.internal.call.RawClient.Answer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against bytes without end in place of an answer that are read until the deadline. */
class EndlessAnswerTest {
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

    @ParameterizedTest
    @CsvSource({
        "'', 'HTTP/1.1 100 Continue||'",
        "'', '|'",
        "'', 'a'",
        "'HTTP/1.1 200 OK|', 'a'",
        "'HTTP/1.1 200 OK|', 'a: b|'",
    })
    void headWithoutEndFailsTheCall(String start, String piece) throws IOException {
        sendWithoutEnd(start, piece);
        Answer answer = RawClient.call(mEntry.address(), RawClient.post("/orders", "x"));
        assertEquals("backend-server-failed may-have-run", answer.code() + " " + answer.verdict());
    }

    @Test
    void bodyOfRefusalWithoutEndRefusesTheCall() throws IOException {
        sendWithoutEnd(
                "HTTP/1.1 503 x|azurearch-verdict: not-run|transfer-encoding: chunked||7fffffff|",
                "a");
        Answer answer = RawClient.call(mEntry.address(), RawClient.post("/orders", "x"));
        assertEquals("overloaded not-run", answer.code() + " " + answer.verdict());
    }

    private void sendWithoutEnd(String start, String piece) {
        mServer.script(
                (request, connection) -> {
                    RawServer.send(connection, lines(start));
                    String pieces = lines(piece).repeat(1_024);
                    while (true) {
                        RawServer.send(connection, pieces);
                    }
                });
    }

    private static String lines(String text) {
        return text.replace("|", "\r\n");
    }
}
