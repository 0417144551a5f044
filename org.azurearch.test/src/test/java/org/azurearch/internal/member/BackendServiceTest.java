package org.azurearch.internal.member;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.azurearch.config.ConfigInForce;
import org.azurearch.config.FirmLimits;
import org.azurearch.config.MeshConfig;
import org.azurearch.config.ServiceConfig;
import org.azurearch.config.SiteConfig;
import org.azurearch.junit.Await;
import org.azurearch.junit.ManualTimerService;
import org.azurearch.lib.Digest;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.NetAddress;
import org.azurearch.lib.ServiceId;
import org.azurearch.lib.SiteId;
import org.azurearch.lib.VersionId;
import org.azurearch.member.Announcement;
import org.azurearch.member.BackendState;
import org.azurearch.member.Endpoint;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the backend service with a health endpoint on a real socket. */
class BackendServiceTest {
    private static final FirmId FIRM = FirmId.fromString("firm");
    private static final ServiceId SERVICE = ServiceId.fromString("service");
    private static final SiteId SITE = SiteId.fromString("a");

    private final ManualTimerService mTimers = new ManualTimerService();
    private final List<List<Endpoint>> mPublished = new ArrayList<>();
    private final AtomicInteger mProbes = new AtomicInteger();
    private final List<BackendState> mStatesAtProbe = new CopyOnWriteArrayList<>();
    private volatile int mHealthStatus = 200;
    private HttpServer mServer;
    private BackendService mBackend;

    @BeforeEach
    void start() throws IOException {
        mServer = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        mServer.createContext(
                "/health",
                exchange -> {
                    mStatesAtProbe.add(mBackend.state());
                    exchange.sendResponseHeaders(mHealthStatus, -1);
                    exchange.close();
                    mProbes.incrementAndGet();
                });
        mServer.start();
        MemberNetwork network = new MemberNetwork(1);
        MemberCore core = network.start("n", "a");
        mBackend =
                new BackendService(
                        mTimers,
                        () -> Optional.of(new FixedConfig()),
                        core.mesh()::self,
                        mPublished::add);
    }

    @AfterEach
    void stop() {
        mBackend.close();
        mServer.stop(0);
    }

    @Test
    void changesArePublishedOnceAndLeaseExpiryRemovesTheEndpoint() {
        announce();
        announce();
        assertEquals(1, mPublished.size());
        assertEquals(BackendState.READY, mPublished.get(0).get(0).state());
        mTimers.advance(Duration.ofSeconds(31));
        assertEquals(BackendState.ABSENT, mBackend.state());
        assertEquals(List.of(), mPublished.get(1));
    }

    /** Guards against peers that go on taking a server for that of the service before it. */
    @Test
    void serverOfAnotherServiceIsPublishedThoughTheStateIsTheSame() {
        announce();
        announce(ServiceId.fromString("other"));
        assertEquals(2, mPublished.size());
        assertEquals("other", mPublished.get(1).get(0).service().name());
    }

    @Test
    void failingHealthEndpointMakesTheServerAbsentUntilItRecovers() {
        announce();
        mHealthStatus = 503;
        Await.until("absent", () -> advanceProbePeriod() == BackendState.ABSENT);
        mHealthStatus = 200;
        Await.until("ready again", () -> advanceProbePeriod() == BackendState.READY);
    }

    /** Guards against a new server that is out of use for a failed probe of the one before it. */
    @Test
    void lateProbeOfReplacedServerDoesNotCount() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        AtomicInteger late = new AtomicInteger();
        HttpServer first =
                HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        first.createContext(
                "/health",
                exchange -> {
                    late.incrementAndGet();
                    awaitRelease(release);
                    exchange.sendResponseHeaders(503, -1);
                    exchange.close();
                });
        first.start();
        try {
            announce(SERVICE, first.getAddress().getPort());
            mTimers.advance(Duration.ofSeconds(1));
            Await.until("the first server is probed", () -> late.get() == 1);
            announce();
            mHealthStatus = 503;
            release.countDown();
            Await.until("the third probe is sent", () -> advanceUnlessProbed(3));
            assertEquals(List.of(BackendState.READY), mStatesAtProbe.subList(2, 3));
        } finally {
            first.stop(0);
        }
    }

    private static void awaitRelease(CountDownLatch release) {
        try {
            release.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean advanceUnlessProbed(int probes) {
        if (mStatesAtProbe.size() < probes) {
            mTimers.advance(Duration.ofMillis(100));
            announce();
        }
        return mStatesAtProbe.size() >= probes;
    }

    /** Guards against probes that stop, as the body of one has no end. */
    @Test
    void bodyWithoutEndIsCutOffAndTheServerStaysReady() {
        mServer.removeContext("/health");
        AtomicInteger cutOff = new AtomicInteger();
        mServer.createContext(
                "/health",
                exchange -> {
                    exchange.sendResponseHeaders(200, 0);
                    try (OutputStream body = exchange.getResponseBody()) {
                        while (true) {
                            body.write(new byte[1_024]);
                        }
                    } catch (IOException e) {
                        cutOff.incrementAndGet();
                    }
                });
        announce();
        Await.until(
                "two probes are cut off",
                () -> advanceProbePeriod() == BackendState.READY && cutOff.get() >= 2);
    }

    @Test
    void probesAreSentOncePerPeriod() {
        announce();
        for (int i = 0; i < 50; i++) {
            mTimers.advance(Duration.ofMillis(100));
        }
        AtomicInteger steps = new AtomicInteger(50);
        Await.until("a probe ended", () -> mProbes.get() >= 1 || advance(steps));
        int seconds = (steps.get() + 9) / 10;
        assertEquals(
                true, mProbes.get() <= seconds, "probes in " + seconds + " s: " + mProbes.get());
    }

    /** Lets a period pass; a probe that exceeds its real timeout is followed by another one. */
    private boolean advance(AtomicInteger steps) {
        announce();
        mTimers.advance(Duration.ofMillis(100));
        steps.incrementAndGet();
        return false;
    }

    private BackendState advanceProbePeriod() {
        mTimers.advance(Duration.ofSeconds(1));
        announce();
        return mBackend.state();
    }

    private void announce() {
        announce(SERVICE);
    }

    private void announce(ServiceId service) {
        announce(service, mServer.getAddress().getPort());
    }

    private void announce(ServiceId service, int port) {
        mBackend.announce(
                new Announcement(
                        FIRM,
                        service,
                        new NetAddress("127.0.0.1", port),
                        BackendState.READY,
                        20,
                        Duration.ofSeconds(30)));
    }

    private static final class FixedConfig implements ConfigInForce {
        @Override
        public MeshConfig current() {
            ServiceConfig service =
                    new ServiceConfig(
                            SERVICE, 20, 100, Duration.ZERO, "/health", Duration.ofSeconds(1));
            SiteConfig site =
                    new SiteConfig(
                            new VersionId(FIRM, 1),
                            SITE,
                            Digest.EMPTY,
                            Map.of(SERVICE, service),
                            Map.of(),
                            Map.of(),
                            Map.of(),
                            new FirmLimits(1, 1));
            return new MeshConfig(1, Digest.EMPTY, SITE, Map.of(FIRM, site));
        }

        @Override
        public void addListener(Consumer<MeshConfig> listener) {}
    }
}
