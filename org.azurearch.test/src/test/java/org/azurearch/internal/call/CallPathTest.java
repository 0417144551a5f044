package org.azurearch.internal.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.azurearch.internal.call.RawClient.Answer;
import org.azurearch.member.BackendState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests calls through two nodes without faults. */
class CallPathTest {
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
    void answerIsForwardedThroughTwoNodes() throws IOException {
        mServer.script((request, connection) -> RawServer.sendOk(connection, request.path()));
        try (RawClient client = new RawClient(mEntry.address())) {
            for (int i = 0; i < 100; i++) {
                client.send(RawClient.get("/stock/hay?n=" + i, "azurearch-call-id: forged"));
                Answer answer = client.read();
                assertEquals(200, answer.status(), answer.toString());
                assertEquals("/stock/hay?n=" + i, answer.body());
                assertEquals("ran", answer.verdict());
            }
        }
        assertTrue(mServer.mConnectionCount.get() <= 4, "connections are reused");
    }

    @Test
    void bodiesStreamBothWaysAndPipelinedRequestsKeepTheirOrder() throws IOException {
        mServer.script(
                (request, connection) ->
                        RawServer.sendOk(
                                connection,
                                new String(
                                        request.body(),
                                        java.nio.charset.StandardCharsets.ISO_8859_1)));
        String large = "abcdefghij".repeat(200_000);
        try (RawClient client = new RawClient(mEntry.address())) {
            client.send(RawClient.post("/orders", large));
            assertEquals(large, client.read().body());
            client.send(
                    RawClient.post("/orders", "one")
                            + RawClient.post("/orders", "two")
                            + "POST /orders HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked"
                            + "\r\n\r\n3\r\nthr\r\n2\r\nee\r\n0\r\n\r\n");
            assertEquals("one", client.read().body());
            assertEquals("two", client.read().body());
            assertEquals("three", client.read().body());
        }
    }

    @Test
    void warmUpReachesNoBackendServerAndLeavesNoTickets() throws IOException {
        mMesh.mCallSettings.put("warmUpRounds", 20);
        FakeMesh.Node warm = mMesh.start("warm");
        assertEquals(0, mServer.mRequestCount.get());
        assertEquals(20, warm.mMetrics.counter("calls.failed.no-route").getCount());
        assertEquals(0, warm.mMetrics.getGauges().get("calls.tickets.remembered").getValue());
        assertEquals(200, RawClient.call(warm.address(), RawClient.get("/stock")).status());
    }

    @Test
    void unknownRouteAndAbsentBackendServerAreNotRun() throws IOException {
        Answer noRoute = RawClient.call(mEntry.address(), RawClient.get("/elsewhere"));
        assertEquals("no-route not-run", noRoute.code() + " " + noRoute.verdict());
        mDestination.setBackendState(BackendState.DRAINING);
        Answer leaving = RawClient.call(mEntry.address(), RawClient.get("/stock"));
        assertEquals("no-backend-server not-run", leaving.code() + " " + leaving.verdict());
        assertTrue(Integer.parseInt(leaving.header("retry-after")) > 0);
        assertEquals(0, mServer.mRequestCount.get());
    }

    @Test
    void headAnswerHasNoBodyAndKeepsTheConnection() throws IOException {
        mServer.script(
                (request, connection) ->
                        RawServer.send(
                                connection,
                                request.head().startsWith("HEAD")
                                        ? "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
                                        : "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx"));
        try (RawClient client = new RawClient(mEntry.address())) {
            client.send("HEAD /stock HTTP/1.1\r\nhost: x\r\n\r\n");
            assertEquals(200, client.readHead().status());
            client.send(RawClient.get("/stock"));
            assertEquals("x", client.read().body());
        }
    }
}
