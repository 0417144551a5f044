package org.azurearch.internal.member;

import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.azurearch.junit.OddAnswer;
import org.azurearch.lib.NetAddress;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a health check that takes bytes for the answer of a healthy server. The bytes of a
 * body do not count, as the status decides.
 */
class OddHealthAnswerTest {
    private static final int REQUEST_BYTES = 4_096;
    private static final long TIMEOUT_SECONDS = 20;

    @ParameterizedTest
    @EnumSource(value = OddAnswer.class, mode = EnumSource.Mode.MATCH_NONE, names = "CHUNK_.*")
    void serverCountsAsUnhealthy(OddAnswer odd) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread answering = new Thread(() -> answer(server, odd), "odd-server");
            answering.start();
            NetAddress address = new NetAddress("127.0.0.1", server.getLocalPort());
            boolean healthy =
                    new HealthProbe()
                            .probe(address, "/health")
                            .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            assertFalse(healthy);
            answering.join();
        }
    }

    private static void answer(ServerSocket server, OddAnswer odd) {
        try (Socket socket = server.accept()) {
            int read = socket.getInputStream().read(new byte[REQUEST_BYTES]);
            if (read > 0) {
                byte[] bytes = odd.text("").getBytes(StandardCharsets.ISO_8859_1);
                socket.getOutputStream().write(bytes);
            }
        } catch (IOException e) {
            throw new IllegalStateException("the health check did not come", e);
        }
    }
}
