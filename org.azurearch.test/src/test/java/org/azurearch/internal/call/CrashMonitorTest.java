package org.azurearch.internal.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.time.Duration;
import java.util.Set;
import org.azurearch.junit.ManualTimerService;
import org.azurearch.lib.NetAddress;
import org.azurearch.lib.NodeId;
import org.azurearch.lib.ServiceId;
import org.azurearch.member.Announcement;
import org.azurearch.member.BackendState;
import org.junit.jupiter.api.Test;

/** Which requests are struck when one of two servers at the same address has crashed. */
class CrashMonitorTest {
    private final FakeMesh mMesh = new FakeMesh();
    private final CrashMonitor mMonitor =
            new CrashMonitor(
                    mMesh.board(), NodeId.fromString("n"), "e", new ManualTimerService().time());

    /** Guards against requests at a new server that are struck for the crash of the one before. */
    @Test
    void crashCountsForTheRequestsOfItsServer() {
        RequestFingerprint first = request("/first");
        RequestFingerprint second = request("/second");
        CrashProbe.Listener probe = mMonitor.connectionLost(server("stock"), first);
        assertNotNull(probe);
        assertNull(mMonitor.connectionLost(server("stock"), first));
        assertNotNull(mMonitor.connectionLost(server("web"), second));
        probe.probed(true);
        assertEquals(1, mMonitor.table().crashes(first.fingerprints().get(0)));
        assertEquals(0, mMonitor.table().crashes(second.fingerprints().get(0)));
    }

    private static Announcement server(String service) {
        return new Announcement(
                FakeMesh.FIRM,
                ServiceId.fromString(service),
                new NetAddress("127.0.0.1", 1),
                BackendState.READY,
                1,
                Duration.ofSeconds(5));
    }

    private static RequestFingerprint request(String path) {
        return RequestFingerprint.ofWhole(
                "GET", path, "web", new DefaultHttpHeaders(), Set.of(), new byte[0]);
    }
}
