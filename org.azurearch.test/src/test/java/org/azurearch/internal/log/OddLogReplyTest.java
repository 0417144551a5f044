package org.azurearch.internal.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.junit.OddAnswer;
import org.azurearch.lib.NetAddress;
import org.azurearch.lib.StreamId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against bytes that are taken for a reply of the log. */
class OddLogReplyTest {
    private static final int REQUEST_BYTES = 4_096;
    private static final long TIMEOUT_SECONDS = 20;
    private static final StreamId STREAM = StreamId.fromString("mesh.changes");

    @ParameterizedTest
    @EnumSource(OddAnswer.class)
    void outcomeOfAppendIsUnknown(OddAnswer odd) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread replying = new Thread(() -> reply(server, odd), "odd-log");
            replying.start();
            NetAddress address = new NetAddress("127.0.0.1", server.getLocalPort());
            try (HttpLogClient client =
                    new HttpLogClient(new LogSettings(address, Duration.ofSeconds(5)))) {
                CompletableFuture<Long> offset = client.append(STREAM, new byte[1]);
                ExecutionException failure =
                        assertThrows(
                                ExecutionException.class,
                                () -> offset.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
                AzurearchException error =
                        assertInstanceOf(AzurearchException.class, failure.getCause());
                assertEquals(ErrorCode.LOG_RESULT_UNKNOWN, error.code());
            }
            replying.join();
        }
    }

    private static void reply(ServerSocket server, OddAnswer odd) {
        try (Socket socket = server.accept()) {
            int read = socket.getInputStream().read(new byte[REQUEST_BYTES]);
            if (read > 0) {
                String text = odd.text("").replace("body", "{\"offset\":7}").replace(": 4", ": 12");
                byte[] bytes =
                        text.replace("4\r\n{", "c\r\n{").getBytes(StandardCharsets.ISO_8859_1);
                socket.getOutputStream().write(bytes);
            }
        } catch (IOException e) {
            throw new IllegalStateException("the request did not come", e);
        }
    }
}
