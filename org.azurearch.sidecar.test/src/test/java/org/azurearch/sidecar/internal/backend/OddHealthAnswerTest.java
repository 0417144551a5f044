package org.azurearch.sidecar.internal.backend;

import static org.junit.jupiter.api.Assertions.assertNull;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.azurearch.junit.OddAnswer;
import org.azurearch.lib.NetAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a health check that takes bytes for the answer of a healthy server. */
class OddHealthAnswerTest {
    private static final int REQUEST_BYTES = 4_096;
    private static final long TIMEOUT_SECONDS = 20;

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void stop() {
        mGroup.shutdownGracefully();
    }

    @ParameterizedTest
    @EnumSource(OddAnswer.class)
    void findsNoInstance(OddAnswer odd) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread answering = new Thread(() -> answer(server, odd), "odd-server");
            answering.start();
            NetAddress address = new NetAddress("127.0.0.1", server.getLocalPort());
            CompletableFuture<Optional<String>> found = new CompletableFuture<>();
            mGroup.next()
                    .execute(
                            () ->
                                    TestDispatchers.create(mGroup.next())
                                            .probe(
                                                    address,
                                                    "/h",
                                                    id -> found.complete(Optional.ofNullable(id))));
            assertNull(found.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).orElse(null));
            answering.join();
        }
    }

    private static void answer(ServerSocket server, OddAnswer odd) {
        try (Socket socket = server.accept()) {
            int read = socket.getInputStream().read(new byte[REQUEST_BYTES]);
            if (read > 0) {
                byte[] bytes = odd.text("instance: i\r\n").getBytes(StandardCharsets.ISO_8859_1);
                socket.getOutputStream().write(bytes);
            }
        } catch (IOException e) {
            throw new IllegalStateException("the health check did not come", e);
        }
    }
}
