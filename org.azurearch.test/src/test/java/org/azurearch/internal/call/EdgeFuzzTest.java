package org.azurearch.internal.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.azurearch.internal.call.RawClient.Answer;

/** Tests that corrupted requests run at most once and never get answers to other requests. */
class EdgeFuzzTest {
    private static final String[] FRAGMENTS = {
        "\r\n",
        "\n",
        "\r",
        " ",
        "\t",
        "0\r\n\r\n",
        "content-length: 2\r\n",
        ": ",
        "\u0000",
        "chunked"
    };
    private static final AtomicInteger NEXT = new AtomicInteger();
    private static FakeMesh sMesh;
    private static RawServer sServer;
    private static FakeMesh.Node sEntry;

    @BeforeContainer
    static void start() throws IOException {
        sMesh = new FakeMesh();
        sServer = new RawServer();
        sServer.script((request, connection) -> RawServer.sendOk(connection, request.path()));
        sEntry = sMesh.start("entry");
        sMesh.start("destination").announceBackend(sServer.address(), 20);
    }

    @AfterContainer
    static void stop() throws IOException {
        sMesh.close();
        sServer.close();
    }

    @Property(tries = 400, seed = "20261203")
    void corruptedRequestRunsAtMostOnceAndAnswersAreNotMixed(
            @ForAll boolean chunked,
            @ForAll @Size(min = 1, max = 3) int[] places,
            @ForAll @IntRange(min = 0, max = 9) int fragment,
            @ForAll boolean replace)
            throws IOException {
        String path = "/orders/" + NEXT.incrementAndGet();
        String body = chunked ? "2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n" : "abcde";
        String framing = chunked ? "transfer-encoding: chunked" : "content-length: 5";
        String request =
                "POST "
                        + path
                        + " HTTP/1.1\r\nhost: x\r\nrun-key: "
                        + path
                        + "\r\n"
                        + framing
                        + "\r\n\r\n"
                        + body;
        try (RawClient client = new RawClient(sEntry.address())) {
            client.send(corrupted(request, places, FRAGMENTS[fragment], replace));
            client.send(RawClient.get("/stock" + path));
            Answer first = client.read();
            boolean own = first.body().startsWith(path.substring(0, "/orders/".length()));
            assertTrue(first.status() != 200 || own || first.body().equals("/stock" + path));
        }
        Answer clean = RawClient.call(sEntry.address(), RawClient.get("/stock/clean" + path));
        assertEquals("/stock/clean" + path, clean.body());
        sServer.mRunsByRequestLine.forEach(
                (line, runs) -> assertEquals(1, runs, line + " ran more than once"));
    }

    private static String corrupted(
            String request, int[] places, String fragment, boolean replace) {
        StringBuilder corrupted = new StringBuilder(request);
        for (int place : places) {
            int at = Math.floorMod(place, corrupted.length());
            corrupted.replace(at, replace ? at + 1 : at, fragment);
        }
        return corrupted.toString();
    }
}
