package org.azurearch.internal.log;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.lib.NetAddress;
import org.azurearch.lib.StreamId;
import org.azurearch.log.LogBatch;
import org.azurearch.log.OffsetRemovedException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class HttpLogClientTest {
    private static final StreamId STREAM = StreamId.fromString("mesh.changes");
    private static final int MAX_BYTES = 1000;

    private HttpServer mServer;
    private HttpLogClient mClient;
    private volatile int mStatus = 200;
    private volatile String mBody = "{}";
    private volatile boolean mDropAnswer;
    private volatile String mRequestLine = "";

    @BeforeEach
    void startServer() throws IOException {
        mServer = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        mServer.createContext("/", this::answer);
        mServer.start();
        NetAddress address = new NetAddress("127.0.0.1", mServer.getAddress().getPort());
        mClient = new HttpLogClient(new LogSettings(address, Duration.ofSeconds(5)));
    }

    @AfterEach
    void stopServer() {
        mClient.close();
        mServer.stop(0);
    }

    @Test
    void appendReturnsTheOffset() {
        mBody = "{\"offset\":7}";
        assertEquals(7, mClient.append(STREAM, new byte[] {1}).join());
        assertEquals("POST /v1/streams/mesh.changes/records", mRequestLine);
    }

    @Test
    void readReturnsRecordsInOrder() {
        mBody =
                "{\"earliest\":2,\"end\":6,\"records\":[{\"offset\":5,"
                        + "\"appendedAtMillis\":9,\"data\":\"AQI=\"}]}";
        LogBatch batch = mClient.read(STREAM, 5, MAX_BYTES, Duration.ofMillis(3)).join();
        assertEquals(
                "GET /v1/streams/mesh.changes/records?offset=5&maxBytes=1000&waitMillis=3",
                mRequestLine);
        assertArrayEquals(new byte[] {1, 2}, batch.records().get(0).data());
        assertEquals(9, batch.records().get(0).appendedAtMillis());
        assertEquals(2, batch.earliest());
        assertEquals(6, batch.end());
    }

    @Test
    void gapInTheRecordsIsAnErrorAndNotSkipped() {
        mBody =
                "{\"earliest\":2,\"end\":9,\"records\":[{\"offset\":8,"
                        + "\"appendedAtMillis\":9,\"data\":\"AQI=\"}]}";
        assertEquals(ErrorCode.LOG_UNAVAILABLE, code(read()));
    }

    @Test
    void removedOffsetNamesTheEarliest() {
        mStatus = 410;
        mBody = "{\"earliest\":40}";
        CompletionException e = assertThrows(CompletionException.class, () -> read().join());
        OffsetRemovedException removed =
                assertInstanceOf(OffsetRemovedException.class, e.getCause());
        assertEquals(40, removed.earliest());
    }

    @Test
    void refusedAppendHadNoEffect() {
        mStatus = 503;
        assertEquals(ErrorCode.LOG_UNAVAILABLE, code(append()));
        mStatus = 429;
        assertEquals(ErrorCode.LOG_UNAVAILABLE, code(append()));
        mStatus = 413;
        assertEquals(ErrorCode.TOO_LARGE, code(append()));
    }

    @Test
    void lostAnswerToAnAppendLeavesTheResultUnknown() {
        mDropAnswer = true;
        assertEquals(ErrorCode.LOG_RESULT_UNKNOWN, code(append()));
        mDropAnswer = false;
        mBody = "{\"offs";
        assertEquals(ErrorCode.LOG_RESULT_UNKNOWN, code(append()));
        mBody = "{}";
        assertEquals(ErrorCode.LOG_RESULT_UNKNOWN, code(append()));
    }

    @Test
    void appendWithoutConnectionHadNoEffect() {
        mServer.stop(0);
        assertEquals(ErrorCode.LOG_UNAVAILABLE, code(append()));
    }

    private CompletableFuture<Long> append() {
        return mClient.append(STREAM, new byte[] {1});
    }

    private CompletableFuture<LogBatch> read() {
        return mClient.read(STREAM, 5, MAX_BYTES, Duration.ZERO);
    }

    private static ErrorCode code(CompletableFuture<?> future) {
        CompletionException e = assertThrows(CompletionException.class, future::join);
        return assertInstanceOf(AzurearchException.class, e.getCause()).code();
    }

    private void answer(HttpExchange exchange) throws IOException {
        mRequestLine = exchange.getRequestMethod() + " " + exchange.getRequestURI();
        exchange.getRequestBody().readAllBytes();
        if (!mDropAnswer) {
            byte[] body = mBody.getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(mStatus, body.length);
            exchange.getResponseBody().write(body);
        }
        exchange.close();
    }
}
