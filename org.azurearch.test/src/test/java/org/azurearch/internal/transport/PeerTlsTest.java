package org.azurearch.internal.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.junit.TestIdentity;
import org.azurearch.kernel.Kernel;
import org.azurearch.settings.NodeIdentity;
import org.azurearch.settings.SettingsSection;
import org.azurearch.thrift.PeerReply;
import org.azurearch.thrift.PeerRequest;
import org.azurearch.thrift.WirePing;
import org.azurearch.thrift.WirePong;
import org.azurearch.time.SystemTimerService;
import org.azurearch.time.TimerService;
import org.azurearch.transport.PeerClient;
import org.azurearch.transport.PeerServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Requests over TLS with certificates on both sides, without a shared key. */
class PeerTlsTest {
    @TempDir private Path mDirectory;

    @Test
    void onlyPeersWithTrustedCertificatesAreServed() throws Exception {
        TestIdentity trusted = TestIdentity.create(mDirectory, "ours");
        TestIdentity untrusted = TestIdentity.create(mDirectory, "other");
        try (TimerService timers = new SystemTimerService();
                Kernel server = start(timers, trusted, trusted);
                Kernel trustedClient = start(timers, trusted, trusted);
                Kernel untrustedClient = start(timers, untrusted, trusted)) {
            server.service(PeerServer.class)
                    .registerHandler(
                            PeerRequest._Fields.PING,
                            request -> PeerReply.pong(new WirePong(true)));
            PeerReply reply = send(trustedClient, server).get(20, TimeUnit.SECONDS);
            assertTrue(reply.getPong().isAlive());
            ExecutionException e =
                    assertThrows(
                            ExecutionException.class,
                            () -> send(untrustedClient, server).get(20, TimeUnit.SECONDS));
            assertEquals(ErrorCode.PEER_UNAVAILABLE, ((AzurearchException) e.getCause()).code());
        }
    }

    @Test
    void settingsWithoutKeyAndCertificateAreRefused() {
        try (TimerService timers = new SystemTimerService()) {
            assertThrows(AzurearchException.class, () -> start(timers, Map.of()));
        }
    }

    private static CompletableFuture<PeerReply> send(Kernel from, Kernel to) {
        return from.service(PeerClient.class)
                .send(
                        to.service(PeerServer.class).address(),
                        PeerRequest.ping(new WirePing("node")),
                        Duration.ofSeconds(5));
    }

    private static Kernel start(TimerService timers, TestIdentity own, TestIdentity trusted) {
        return start(
                timers,
                Map.of(
                        "tls",
                        Map.of(
                                "certificate", own.certificate().toString(),
                                "key", own.key().toString(),
                                "trust", trusted.certificate().toString())));
    }

    private static Kernel start(TimerService timers, Map<String, ?> more) {
        Map<String, Object> peers = new HashMap<>(more);
        peers.put("listen", "127.0.0.1:0");
        Map<String, String> node =
                Map.of("mesh", "test", "id", "n", "dataCentre", "a", "region", "r");
        SettingsSection settings = new SettingsSection("", Map.of("node", node, "peers", peers));
        Kernel kernel = new Kernel();
        kernel.register(SettingsSection.class, settings);
        kernel.register(NodeIdentity.class, NodeIdentity.from(settings));
        kernel.register(TimerService.class, timers);
        kernel.register(MetricRegistry.class, new MetricRegistry());
        kernel.start(List.of(new TransportPlugin()));
        return kernel;
    }
}
