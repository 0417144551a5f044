package org.azurearch.internal.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.SocketException;
import org.azurearch.internal.call.RawClient.Answer;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that messages with ambiguous framing never reach a backend server (request smuggling). */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class FramingTest {
    private static final String POST = "POST /orders HTTP/1.1\r\nhost: x\r\n";
    private static final String SMUGGLED = "GET /stock/smuggled HTTP/1.1\r\nhost: x\r\n\r\n";

    private final FakeMesh mMesh = new FakeMesh();
    private RawServer mServer;
    private FakeMesh.Node mEntry;

    @BeforeAll
    void start() throws IOException {
        mServer = new RawServer();
        mEntry = mMesh.start("entry");
        mMesh.start("destination").announceBackend(mServer.address(), 20);
    }

    @AfterAll
    void stop() throws IOException {
        mMesh.close();
        mServer.close();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                POST + "content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
                POST + "transfer-encoding: chunked\r\ncontent-length: 3\r\n\r\n0\r\n\r\n",
                POST + "content-length: 3\r\ncontent-length: 4\r\n\r\nabc",
                POST + "content-length: 3\r\ncontent-length: 3\r\n\r\nabc",
                POST + "content-length: 3, 3\r\n\r\nabc",
                POST + "content-length: +3\r\n\r\nabc",
                POST + "content-length: -3\r\n\r\nabc",
                POST + "content-length: 0x3\r\n\r\nabc",
                POST + "content-length : 3\r\n\r\nabc",
                POST + "content-length:\r\n 3\r\n\r\nabc",
                POST + "x: a\r\n b: c\r\n\r\n",
                POST + "x: a\r\n\tb\r\n\r\n",
                POST + "transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                POST + "transfer-encoding: xchunked\r\n\r\n0\r\n\r\n",
                POST + "transfer-encoding: chunked\r\ntransfer-encoding: identity\r\n\r\n0\r\n\r\n",
                POST + "transfer-encoding: \u000bchunked\r\n\r\n0\r\n\r\n",
                POST + "connection: content-length\r\ncontent-length: 3\r\n\r\nabc",
                POST + "host: y\r\n\r\n",
                POST + "x: a\n\r\n",
                POST + "x\r\n\r\n",
                POST + ": x\r\n\r\n",
                POST + "x: a\u0000b\r\n\r\n",
                "POST /orders HTTP/1.1\r\n\r\n",
                "GET /stock HTTP/1.0\r\nhost: x\r\n\r\n",
                "GET /stock HTTP/1.1\nhost: x\n\n",
                "GET /stock\r\nhost: x\r\n\r\n",
                "GET /stock/../orders HTTP/1.1\r\nhost: x\r\n\r\n",
                "GET /stock/%2e%2e/orders HTTP/1.1\r\nhost: x\r\n\r\n",
                "GET http://x/stock HTTP/1.1\r\nhost: x\r\n\r\n",
                "CONNECT x:80 HTTP/1.1\r\nhost: x\r\n\r\n",
                "garbage\r\n\r\n"
            })
    void ambiguousMessageIsRefusedAndTheConnectionClosed(String message) throws IOException {
        int before = mServer.mRequestCount.get();
        try (RawClient client = new RawClient(mEntry.address())) {
            client.send(message + SMUGGLED);
            Answer answer = client.read();
            assertEquals(400, answer.status(), answer.toString());
            assertEquals("bad-request not-run", answer.code() + " " + answer.verdict());
            assertTrue(client.connectionClosed());
        }
        assertEquals(before, mServer.mRequestCount.get());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "zz\r\nabc\r\n0\r\n\r\n",
                "-1\r\nabc\r\n0\r\n\r\n",
                "3\r\nabcd\r\n0\r\n\r\n",
                "3\nabc\n0\n\n",
                "fffffffffffffffff\r\nabc\r\n0\r\n\r\n"
            })
    void malformedChunksNeverStartAnotherRequest(String chunks) throws IOException {
        try (RawClient client = new RawClient(mEntry.address())) {
            client.send(POST + "transfer-encoding: chunked\r\n\r\n" + chunks + SMUGGLED);
            Answer answer = client.read();
            assertEquals(400, answer.status(), answer.toString());
            assertTrue(client.connectionClosed());
        }
    }

    @Test
    void spacesInTheRequestLineAreNormalised() throws IOException {
        mServer.script(
                (request, connection) ->
                        RawServer.sendOk(connection, request.head().split("\r")[0]));
        Answer answer =
                RawClient.call(mEntry.address(), "GET  /stock  HTTP/1.1\r\nhost: x\r\n\r\n");
        assertEquals("GET /stock HTTP/1.1", answer.body());
    }

    @Test
    void oversizeHeadIsRefused() throws IOException {
        try (RawClient client = new RawClient(mEntry.address())) {
            client.send(POST + "x: " + "a".repeat(20_000) + "\r\n\r\n");
            assertEquals(400, client.read().status());
        } catch (SocketException expected) {
            // The connection was closed while the head was still being sent.
        }
    }

    @Test
    void connectionOfStalledSenderIsClosed() throws IOException {
        try (RawClient client = new RawClient(mEntry.address())) {
            client.send(POST + "content-length: 10\r\n\r\nabc");
            assertTrue(client.connectionClosed());
        }
    }

    @Test
    void forgedInternalHeadersAreIgnored() throws IOException {
        Answer answer =
                RawClient.call(
                        mEntry.address(),
                        RawClient.get(
                                "/stock",
                                "azurearch-hop: 1;regie;stock;x;0;1;0;9;9;9;0~false~9~",
                                "azurearch-home: 1;9;0~false~9~;"));
        assertEquals(200, answer.status(), answer.toString());
    }
}
