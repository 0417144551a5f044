package org.azurearch.standin.backend;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.azurearch.junit.Await;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.NetAddress;
import org.azurearch.lib.ServiceId;
import org.azurearch.member.Announcement;
import org.azurearch.member.BackendState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class BackendServerTest {
    private static final ServiceTime LONG_SERVICE_TIME =
            new ServiceTime(Duration.ofSeconds(60), ServiceTime.Shape.FIXED);

    private final HttpClient mClient = HttpClient.newHttpClient();
    private BackendServer mServer = start(BackendOptions.DEFAULT);

    @AfterEach
    void close() {
        mServer.close();
    }

    @Test
    void answersWithTheEchoOfTheRequest() throws Exception {
        byte[] body = "order".getBytes();
        HttpRequest request =
                request("/orders")
                        .header(EchoAnswer.NONCE_HEADER, "n1")
                        .header(EchoAnswer.ANSWER_BYTES_HEADER, "1000")
                        .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                        .build();
        HttpResponse<byte[]> response =
                mClient.send(request, HttpResponse.BodyHandlers.ofByteArray());
        assertEquals(200, response.statusCode());
        assertEquals(1000, response.body().length);
        assertArrayEquals(EchoAnswer.of("n1", body, 1000), response.body());
    }

    @Test
    void countsRunsByKey() throws Exception {
        send(request("/a").header("idempotency-key", "k1").build());
        send(request("/a").header("idempotency-key", "k1").build());
        send(request("/a").header("run-key", "k2").build());
        assertEquals("{\"runs\":2}", send(request("/runs?key=k1").build()).body());
        assertEquals("{\"runs\":3,\"doubleRuns\":1}", send(request("/runs").build()).body());
    }

    @Test
    void shedsBeyondItsSlotsAndFreesThemOnCancellation() throws Exception {
        restart(BackendOptions.DEFAULT.withSlots(1).withServiceTime(LONG_SERVICE_TIME));
        CompletableFuture<HttpResponse<String>> first =
                mClient.sendAsync(request("/a").build(), HttpResponse.BodyHandlers.ofString());
        Await.untilEquals(1, () -> mServer.statistics().inUse());
        assertEquals(503, send(request("/b").build()).statusCode());
        first.cancel(true);
        Await.untilEquals(0, () -> mServer.statistics().inUse());
        assertEquals(1, mServer.statistics().cancelled());
        assertEquals(1, mServer.statistics().shed());
    }

    @Test
    void requestedCrashCutsEveryRequest() {
        restart(BackendOptions.DEFAULT.withServiceTime(LONG_SERVICE_TIME));
        CompletableFuture<HttpResponse<String>> other =
                mClient.sendAsync(request("/a").build(), HttpResponse.BodyHandlers.ofString());
        Await.untilEquals(1, () -> mServer.statistics().inUse());
        assertThrows(IOException.class, () -> send(request("/b").header("x-crash", "yes").build()));
        assertThrows(Exception.class, other::join);
    }

    @Test
    void startsColdAndDrains() {
        restart(
                BackendOptions.DEFAULT.withColdStart(
                        new ColdStart(Duration.ofMillis(20), Duration.ofMillis(40), 3.0)));
        RecordingTarget target = new RecordingTarget();
        mServer.announceTo(target, FirmId.fromString("regie"), ServiceId.fromString("stock"));
        Await.until("is ready", () -> target.mStates.contains(BackendState.READY));
        assertEquals(BackendServer.DrainResult.IDLE, mServer.drain(Duration.ofSeconds(5)));
        assertTrue(target.mStates.contains(BackendState.DRAINING));
        assertEquals(BackendState.ABSENT, target.mStates.get(target.mStates.size() - 1));
    }

    @Test
    void coldStartFactorFallsToOne() {
        ColdStart cold = new ColdStart(Duration.ZERO, Duration.ofSeconds(10), 5.0);
        assertEquals(5.0, cold.serviceTimeFactor(0));
        assertEquals(3.0, cold.serviceTimeFactor(Duration.ofSeconds(5).toNanos()));
        assertEquals(1.0, cold.serviceTimeFactor(Duration.ofSeconds(11).toNanos()));
    }

    @Test
    void loadReportLags() {
        LaggedLoad load = new LaggedLoad(Duration.ofNanos(100));
        assertEquals(3, load.read(3, 1_000));
        assertEquals(3, load.read(9, 1_099));
        assertEquals(9, load.read(9, 1_100));
    }

    @Test
    void misleadingReportsStayHealthyWhileDraining() throws Exception {
        HealthReports misleading = new HealthReports(Duration.ZERO, Duration.ZERO, true);
        restart(BackendOptions.DEFAULT.withReports(misleading));
        mServer.drain(Duration.ZERO);
        assertEquals(200, send(request("/health").build()).statusCode());
        assertEquals(503, send(request("/a").build()).statusCode());
    }

    private static BackendServer start(BackendOptions options) {
        return BackendServer.start(new NetAddress("127.0.0.1", 0), options);
    }

    private void restart(BackendOptions options) {
        mServer.close();
        mServer = start(options);
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + mServer.address() + path))
                .version(HttpClient.Version.HTTP_1_1);
    }

    private HttpResponse<String> send(HttpRequest request) throws Exception {
        return mClient.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private static final class RecordingTarget implements AnnouncementTarget {
        private final List<BackendState> mStates = new CopyOnWriteArrayList<>();

        @Override
        public void announce(Announcement announcement) {
            mStates.add(announcement.state());
        }

        @Override
        public void withdraw() {
            mStates.add(BackendState.ABSENT);
        }
    }
}
