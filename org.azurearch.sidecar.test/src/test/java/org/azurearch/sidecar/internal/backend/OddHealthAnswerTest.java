package org.azurearch.sidecar.internal.backend;

import static org.junit.jupiter.api.Assertions.assertNull;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.azurearch.junit.OddAnswer;
import org.azurearch.junit.OneShotServer;
import org.azurearch.lib.NetAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a health check that takes bytes for the answer of a healthy server. */
class OddHealthAnswerTest {
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
        try (OneShotServer server = new OneShotServer(odd.text("instance: i\r\n"))) {
            NetAddress address = new NetAddress("127.0.0.1", server.port());
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
        }
    }
}
