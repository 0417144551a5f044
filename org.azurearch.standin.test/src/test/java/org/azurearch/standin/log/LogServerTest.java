package org.azurearch.standin.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.azurearch.junit.Await;
import org.azurearch.junit.ManualTimerService;
import org.azurearch.lib.NetAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class LogServerTest {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final ManualTimerService mTimers = new ManualTimerService();
    private final HttpClient mClient = HttpClient.newHttpClient();
    private LogServer mLog = start(LogServerOptions.DEFAULT);

    @AfterEach
    void close() {
        mLog.close();
    }

    @Test
    void appendsAndReadsBack() throws Exception {
        assertEquals(0, append("a", "one").path("offset").asLong());
        assertEquals(1, append("a", "two").path("offset").asLong());
        JsonNode batch = read("a", "offset=1");
        assertEquals(0, batch.path("earliest").asLong());
        assertEquals(2, batch.path("end").asLong());
        JsonNode record = batch.path("records").get(0);
        assertEquals(1, record.path("offset").asLong());
        assertEquals("two", new String(record.path("data").binaryValue()));
        assertEquals(
                ManualTimerService.START_WALL_MILLIS, record.path("appendedAtMillis").asLong());
    }

    @Test
    void unknownStreamIsEmpty() throws Exception {
        JsonNode batch = read("never-written", "offset=0");
        assertEquals(0, batch.path("end").asLong());
        assertEquals(0, batch.path("records").size());
    }

    @Test
    void readBoundsItsSizeButReturnsOneRecord() throws Exception {
        append("a", "12345");
        append("a", "67890");
        assertEquals(1, read("a", "offset=0&maxBytes=1").path("records").size());
        assertEquals(2, read("a", "offset=0&maxBytes=10").path("records").size());
    }

    @Test
    void longPollEndsWithTheNextRecord() throws Exception {
        append("a", "one");
        CompletableFuture<HttpResponse<String>> poll =
                mClient.sendAsync(
                        get("/v1/streams/a/records?offset=1&waitMillis=20000"),
                        HttpResponse.BodyHandlers.ofString());
        Await.untilEquals(1, () -> mLog.statistics().waiting());
        assertFalse(poll.isDone());
        append("a", "two");
        JsonNode batch = JSON.readTree(poll.join().body());
        assertEquals(1, batch.path("records").get(0).path("offset").asLong());
    }

    @Test
    void longPollEndsEmptyWhenItsTimeIsUp() throws Exception {
        JsonNode batch = read("a", "offset=0&waitMillis=20");
        assertEquals(0, batch.path("records").size());
    }

    @Test
    void retentionByCountAndAgeRemovesFromTheFront() throws Exception {
        restart(LogServerOptions.DEFAULT.withRetentionRecords(2));
        append("a", "one");
        append("a", "two");
        append("a", "three");
        HttpResponse<String> gone = send(get("/v1/streams/a/records?offset=0"));
        assertEquals(410, gone.statusCode());
        assertEquals(1, JSON.readTree(gone.body()).path("earliest").asLong());
        mTimers.advance(LogServerOptions.DEFAULT.retentionAge().plusMillis(1));
        JsonNode batch = read("a", "offset=3");
        assertEquals(3, batch.path("earliest").asLong());
        assertEquals(3, batch.path("end").asLong());
    }

    @Test
    void appendRateIsLimited() throws Exception {
        restart(LogServerOptions.DEFAULT.withAppendsPerSecond(2));
        append("a", "one");
        append("a", "two");
        HttpResponse<String> limited = send(post("a", new byte[] {1}));
        assertEquals(429, limited.statusCode());
        long retryAfter = JSON.readTree(limited.body()).path("retryAfterMillis").asLong();
        mTimers.advance(Duration.ofMillis(retryAfter));
        assertEquals(2, append("a", "three").path("offset").asLong());
    }

    @Test
    void oversizeRecordIsRefused() throws Exception {
        assertEquals(200, send(post("a", new byte[1_048_576])).statusCode());
        assertEquals(413, send(post("a", new byte[1_048_577])).statusCode());
    }

    @Test
    void unavailableLogRejectsAppendsAndEndsPolls() throws Exception {
        CompletableFuture<HttpResponse<String>> poll =
                mClient.sendAsync(
                        get("/v1/streams/a/records?offset=0&waitMillis=20000"),
                        HttpResponse.BodyHandlers.ofString());
        Await.untilEquals(1, () -> mLog.statistics().waiting());
        setFaultMode("down");
        assertEquals(503, send(post("a", new byte[] {1})).statusCode());
        assertEquals(503, poll.join().statusCode());
        setFaultMode("none");
        assertEquals(0, append("a", "one").path("offset").asLong());
    }

    @Test
    void appendTakesEffectWhenItsAnswerIsLost() throws Exception {
        setFaultMode("lose-append-answers");
        assertThrows(IOException.class, () -> send(post("a", new byte[] {1})));
        setFaultMode("none");
        assertTrue(read("a", "offset=0").path("end").asLong() >= 1);
    }

    @Test
    void statisticsCountByStream() throws Exception {
        append("a", "one");
        read("a", "offset=0");
        JsonNode stream =
                JSON.readTree(send(get("/v1/statistics")).body()).path("streams").path("a");
        assertEquals(1, stream.path("appends").asLong());
        assertEquals(3, stream.path("appendedBytes").asLong());
        assertEquals(1, stream.path("reads").asLong());
        assertEquals(3, stream.path("readBytes").asLong());
    }

    private LogServer start(LogServerOptions options) {
        return LogServer.start(new NetAddress("127.0.0.1", 0), options, mTimers.time());
    }

    private void restart(LogServerOptions options) {
        mLog.close();
        mLog = start(options);
    }

    private JsonNode append(String stream, String data) throws Exception {
        HttpResponse<String> response = send(post(stream, data.getBytes()));
        assertEquals(200, response.statusCode());
        return JSON.readTree(response.body());
    }

    private JsonNode read(String stream, String query) throws Exception {
        HttpResponse<String> response = send(get("/v1/streams/" + stream + "/records?" + query));
        assertEquals(200, response.statusCode());
        return JSON.readTree(response.body());
    }

    private void setFaultMode(String mode) throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(uri("/v1/faults"))
                        .PUT(HttpRequest.BodyPublishers.ofString("{\"mode\":\"" + mode + "\"}"))
                        .build();
        assertEquals(200, send(request).statusCode());
    }

    private HttpRequest post(String stream, byte[] data) {
        return HttpRequest.newBuilder(uri("/v1/streams/" + stream + "/records"))
                .POST(HttpRequest.BodyPublishers.ofByteArray(data))
                .build();
    }

    private HttpRequest get(String path) {
        return HttpRequest.newBuilder(uri(path)).build();
    }

    private URI uri(String path) {
        return URI.create("http://" + mLog.address() + path);
    }

    private HttpResponse<String> send(HttpRequest request) throws Exception {
        return mClient.send(request, HttpResponse.BodyHandlers.ofString());
    }
}
