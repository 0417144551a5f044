package org.azurearch.sidecar.internal.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.azurearch.junit.Await;
import org.azurearch.lib.NetAddress;
import org.azurearch.sidecar.admit.AnswerBudget;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Bytes without end in place of an answer: what is read of them, and what is held. */
class EndlessBytesTest {
    private static final int MEBIBYTE = 1024 * 1024;
    private static final int PIECE_BYTES = 64 * 1024;

    /** Size of the largest answer. */
    private static final int MAX_ANSWER_BYTES = 16 * MEBIBYTE;

    private static final int CONNECTIONS = 8;
    private static final int SHARE_BYTES = 128 * 1024;

    private static final class Outcome implements BackendConnection.ResponseListener {
        private volatile @Nullable String mFailure;

        @Override
        public void answered(FullHttpResponse answer) {
            throw new AssertionError("answered: " + answer);
        }

        @Override
        public void failed(String reason) {
            mFailure = reason;
        }
    }

    /** Guards against bytes that are read until the deadline of a call at full speed. */
    @ParameterizedTest
    @CsvSource({
        "'', 'HTTP/1.1 100 Continue|||', 2",
        "'', '||', 2",
        "'', 'a', 1",
        "'HTTP/1.1 200 OK|', 'a', 1",
        "'HTTP/1.1 200 OK|', 'a: b|', 1",
        "'HTTP/1.1 200 OK||', 'a', 17",
        "'HTTP/1.1 200 OK|content-length: 999999999999||', 'a', 17",
        "'HTTP/1.1 200 OK|transfer-encoding: chunked||7fffffff|', 'a', 17",
        "'HTTP/1.1 200 OK|transfer-encoding: chunked||', '1|a|', 2",
        "'HTTP/1.1 200 OK|transfer-encoding: chunked||1;', 'a', 1",
        "'HTTP/1.1 200 OK|transfer-encoding: chunked||0|', 'a: b|', 1",
    })
    void connectionIsClosed(String start, String piece, int maxMebibytes) {
        EmbeddedChannel channel = new EmbeddedChannel();
        Outcome outcome = new Outcome();
        install(channel).send(request(), outcome);
        channel.writeInbound(Unpooled.copiedBuffer(lines(start), StandardCharsets.US_ASCII));
        byte[] bytes = lines(piece).repeat(PIECE_BYTES / piece.length()).getBytes();
        long sent = 0;
        while (channel.isActive() && sent <= (long) maxMebibytes * MEBIBYTE) {
            channel.writeInbound(Unpooled.wrappedBuffer(bytes));
            sent += bytes.length;
        }
        assertFalse(channel.isActive());
        assertNotNull(outcome.mFailure);
    }

    @Test
    void bytesBehindAnAnswerCloseTheConnection() {
        EmbeddedChannel channel = new EmbeddedChannel();
        AtomicInteger answers = new AtomicInteger();
        install(channel)
                .send(
                        request(),
                        new BackendConnection.ResponseListener() {
                            @Override
                            public void answered(FullHttpResponse answer) {
                                answers.incrementAndGet();
                            }

                            @Override
                            public void failed(String reason) {
                                throw new AssertionError(reason);
                            }
                        });
        String answer = lines("HTTP/1.1 200 OK|content-length: 0||");
        String behind = "a".repeat(PIECE_BYTES);
        channel.writeInbound(Unpooled.copiedBuffer(answer + behind, StandardCharsets.US_ASCII));
        assertFalse(channel.isActive());
        assertEquals(1, answers.get());
    }

    /** Guards against memory that fills up, as a paused connection is read on. */
    @Test
    void bytesHeldOfAllConnectionsAreBounded() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        AnswerBudget budget = new AnswerBudget(MEBIBYTE, SHARE_BYTES);
        AtomicInteger failed = new AtomicInteger();
        AtomicInteger maxBytes = new AtomicInteger();
        try (ServerSocket server =
                new ServerSocket(0, CONNECTIONS, InetAddress.getLoopbackAddress())) {
            BackendConnectionPool pool =
                    new BackendConnectionPool(
                            loop,
                            TestDispatchers.DIALECT,
                            new NetAddress("127.0.0.1", server.getLocalPort()),
                            budget);
            for (int i = 0; i < CONNECTIONS; i++) {
                loop.execute(() -> open(pool, failed));
                startThread(server.accept());
            }
            loop.scheduleAtFixedRate(
                    () -> maxBytes.accumulateAndGet((int) budget.largeBytes(), Math::max),
                    0,
                    1,
                    TimeUnit.MILLISECONDS);
            Await.until("all are given up", () -> failed.get() == CONNECTIONS);
            assertTrue(maxBytes.get() > MEBIBYTE, "held " + maxBytes);
            int shares = CONNECTIONS * (SHARE_BYTES + PIECE_BYTES);
            assertTrue(maxBytes.get() <= MEBIBYTE + MAX_ANSWER_BYTES + shares, "held " + maxBytes);
            CompletableFuture.runAsync(() -> assertEquals(0, budget.largeBytes()), loop).get();
        } finally {
            group.shutdownGracefully();
        }
    }

    private static void open(BackendConnectionPool pool, AtomicInteger failed) {
        pool.acquire(
                idle -> true,
                false,
                System.nanoTime(),
                connection ->
                        connection.send(
                                request(),
                                new BackendConnection.ResponseListener() {
                                    @Override
                                    public void answered(FullHttpResponse answer) {
                                        throw new AssertionError("answered: " + answer);
                                    }

                                    @Override
                                    public void failed(String reason) {
                                        failed.incrementAndGet();
                                    }
                                }));
    }

    private static BackendConnection install(EmbeddedChannel channel) {
        return new BackendConnectionPool(
                        channel.eventLoop(),
                        TestDispatchers.DIALECT,
                        new NetAddress("127.0.0.1", 1),
                        new AnswerBudget(MAX_ANSWER_BYTES, SHARE_BYTES))
                .install(channel);
    }

    private static void startThread(Socket socket) {
        Thread thread = new Thread(() -> sendWithoutEnd(socket), "endless-server");
        thread.setDaemon(true);
        thread.start();
    }

    private static void sendWithoutEnd(Socket socket) {
        byte[] piece = new byte[PIECE_BYTES];
        try (socket) {
            socket.getOutputStream()
                    .write(lines("HTTP/1.1 200 OK||").getBytes(StandardCharsets.US_ASCII));
            while (true) {
                socket.getOutputStream().write(piece);
            }
        } catch (IOException e) {
            // The connection was closed.
        }
    }

    private static FullHttpRequest request() {
        return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
    }

    private static String lines(String text) {
        return text.replace("|", "\r\n");
    }
}
