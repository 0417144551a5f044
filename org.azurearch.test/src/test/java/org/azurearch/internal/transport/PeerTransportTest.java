package org.azurearch.internal.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.junit.Await;
import org.azurearch.lib.NetAddress;
import org.azurearch.thrift.PeerReply;
import org.azurearch.thrift.PeerRequest;
import org.azurearch.thrift.WireChunk;
import org.azurearch.thrift.WireChunkRequest;
import org.azurearch.thrift.WireManifestRequest;
import org.azurearch.thrift.WirePing;
import org.azurearch.thrift.WirePong;
import org.azurearch.time.SystemTimerService;
import org.azurearch.time.TimerService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Requests over real sockets, also with unauthenticated, silent and misbehaving peers. */
class PeerTransportTest {
    private static final String KEY = "0f".repeat(32);
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final Duration SHORT = Duration.ofMillis(300);
    private static final int MAX_MESSAGE_BYTES = 65_536;
    private static final PeerRequest PING = PeerRequest.ping(new WirePing("target"));

    private final PeerSettings.Limits mLimits =
            new PeerSettings.Limits(
                    8,
                    8,
                    4,
                    MAX_MESSAGE_BYTES,
                    2,
                    Duration.ofSeconds(30),
                    Duration.ofMillis(500),
                    Duration.ofSeconds(2));
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final TimerService mTimers = new SystemTimerService();
    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<AutoCloseable> mClosing = new ArrayList<>();
    private NettyPeerServer mServer;

    @BeforeEach
    void start() {
        PeerSettings settings =
                new PeerSettings(
                        new NetAddress("127.0.0.1", 0),
                        "127.0.0.1",
                        List.of(KEY),
                        Optional.empty(),
                        mLimits);
        mServer =
                new NettyPeerServer(
                        settings, new GcmSealer("mesh", List.of(KEY)), null, mGroup, mMetrics);
        mServer.registerHandler(
                PeerRequest._Fields.PING, request -> PeerReply.pong(new WirePong(true)));
    }

    @AfterEach
    void stop() throws Exception {
        for (AutoCloseable closing : mClosing) {
            closing.close();
        }
        mServer.close();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        mTimers.close();
    }

    @Test
    void bytesAreCountedByKindOnBothSides() throws Exception {
        assertTrue(send(client(KEY), PING, TIMEOUT).getPong().isAlive());
        long received = mMetrics.counter("control.received.bytes.ping").getCount();
        assertTrue(received > 0);
    }

    @Test
    void peerWithUnknownKeyIsRefusedAndDisconnected() {
        assertEquals(ErrorCode.PEER_UNAUTHENTICATED, failureCode(client("aa".repeat(32)), PING));
        assertEquals(1, mMetrics.counter("peer.unauthenticated").getCount());
        Await.until("the connection is closed", () -> connections() == 0);
    }

    @Test
    void replayedRequestIsRefused() throws Exception {
        GcmSealer sealer = new GcmSealer("mesh", List.of(KEY));
        ThriftCodec codec = new ThriftCodec(MAX_MESSAGE_BYTES);
        byte[] frame = codec.encodeCall(0, sealer.sealRequest(codec.encode(PING)).bytes());
        try (Socket first = connect();
                Socket second = connect()) {
            assertEquals(2, answerType(first, frame));
            assertEquals(3, answerType(second, frame));
            assertEquals(-1, second.getInputStream().read());
        }
    }

    @Test
    void tamperedAndOversizeFramesEndTheConnection() throws Exception {
        try (Socket garbage = connect();
                Socket oversize = connect()) {
            new DataOutputStream(garbage.getOutputStream()).writeInt(4);
            garbage.getOutputStream().write(new byte[] {1, 2, 3, 4});
            assertEquals(-1, garbage.getInputStream().read());
            new DataOutputStream(oversize.getOutputStream()).writeInt(MAX_MESSAGE_BYTES + 1);
            assertEquals(-1, oversize.getInputStream().read());
        }
        assertTrue(send(client(KEY), PING, TIMEOUT).isSetPong());
    }

    @Test
    void connectionThatNeverAuthenticatesIsClosed() throws Exception {
        try (Socket silent = connect()) {
            silent.getOutputStream().write(new byte[] {0, 0});
            assertEquals(-1, silent.getInputStream().read());
        }
    }

    @Test
    void connectionsAboveTheLimitAreRefused() throws Exception {
        List<Socket> open = new ArrayList<>();
        for (int i = 0; i < mLimits.maxConnections(); i++) {
            open.add(connect());
        }
        Await.until("all connections are open", () -> connections() == mLimits.maxConnections());
        try (Socket extra = connect()) {
            assertEquals(-1, extra.getInputStream().read());
        }
        for (Socket socket : open) {
            socket.close();
        }
    }

    @Test
    void silentPeerFailsTheRequestAndIsReconnected() throws Exception {
        try (ServerSocket silent = new ServerSocket(0)) {
            silent.setSoTimeout(10_000);
            NetAddress address = new NetAddress("127.0.0.1", silent.getLocalPort());
            NettyPeerClient client = client(KEY);
            CompletableFuture<PeerReply> reply = client.send(address, PING, SHORT);
            try (Socket accepted = silent.accept()) {
                assertEquals(ErrorCode.PEER_UNAVAILABLE, codeOf(reply));
                drain(accepted);
            }
            client.send(address, PING, TIMEOUT);
            silent.accept().close();
        }
    }

    @Test
    void slowHandlerDelaysNeitherMembershipNorOtherClients() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        mServer.registerHandler(
                PeerRequest._Fields.CHUNK,
                request -> {
                    await(release);
                    return PeerReply.chunk(new WireChunk().setDigest(new byte[0]));
                });
        NettyPeerClient slow = client(KEY);
        NettyPeerClient other = client(KEY);
        List<CompletableFuture<PeerReply>> chunks = new ArrayList<>();
        for (int i = 0; i < mLimits.maxInFlightPerPeer(); i++) {
            chunks.add(slow.send(mServer.address(), chunkRequest(), TIMEOUT));
        }
        assertTrue(send(other, PING, TIMEOUT).isSetPong());
        Await.until(
                "a request to the full queue is answered as busy", () -> busyCount(chunks) >= 1);
        release.countDown();
        for (CompletableFuture<PeerReply> chunk : chunks) {
            chunk.get(10, TimeUnit.SECONDS);
        }
    }

    @Test
    void requestsAboveTheLimitOfOnePeerFailAtOnce() throws Exception {
        try (ServerSocket silent = new ServerSocket(0)) {
            NetAddress address = new NetAddress("127.0.0.1", silent.getLocalPort());
            NettyPeerClient client = client(KEY);
            for (int i = 0; i < mLimits.maxInFlightPerPeer(); i++) {
                client.send(address, PING, TIMEOUT);
            }
            assertEquals(ErrorCode.BUSY, codeOf(client.send(address, PING, TIMEOUT)));
        }
    }

    @Test
    void kindWithoutHandlerAndDeclaredRefusalKeepTheirCodes() {
        assertEquals(
                ErrorCode.NOT_FOUND,
                failureCode(client(KEY), PeerRequest.manifest(new WireManifestRequest())));
        mServer.registerHandler(
                PeerRequest._Fields.MANIFEST,
                request -> {
                    throw new AzurearchException(ErrorCode.NOT_READY, "not yet");
                });
        assertEquals(
                ErrorCode.NOT_READY,
                failureCode(client(KEY), PeerRequest.manifest(new WireManifestRequest())));
    }

    @Test
    void peerThatDoesNotListenIsUnavailable() throws Exception {
        int port;
        try (ServerSocket free = new ServerSocket(0)) {
            port = free.getLocalPort();
        }
        CompletableFuture<PeerReply> reply =
                client(KEY).send(new NetAddress("127.0.0.1", port), PING, TIMEOUT);
        assertEquals(ErrorCode.PEER_UNAVAILABLE, codeOf(reply));
    }

    private static long busyCount(List<CompletableFuture<PeerReply>> replies) {
        return replies.stream()
                .filter(reply -> reply.isDone() && reply.getNow(null).isSetBusy())
                .count();
    }

    private static PeerRequest chunkRequest() {
        return PeerRequest.chunk(new WireChunkRequest().setDigest(new byte[0]));
    }

    private NettyPeerClient client(String key) {
        NettyPeerClient client =
                new NettyPeerClient(
                        mLimits,
                        new GcmSealer("mesh", List.of(key)),
                        null,
                        mGroup,
                        mTimers,
                        new MetricRegistry());
        mClosing.add(client);
        return client;
    }

    private PeerReply send(NettyPeerClient client, PeerRequest request, Duration timeout)
            throws Exception {
        return client.send(mServer.address(), request, timeout).get(10, TimeUnit.SECONDS);
    }

    private ErrorCode failureCode(NettyPeerClient client, PeerRequest request) {
        return codeOf(client.send(mServer.address(), request, TIMEOUT));
    }

    private static ErrorCode codeOf(CompletableFuture<PeerReply> reply) {
        ExecutionException e =
                assertThrows(ExecutionException.class, () -> reply.get(20, TimeUnit.SECONDS));
        return ((AzurearchException) e.getCause()).code();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket("127.0.0.1", mServer.address().port());
        socket.setSoTimeout(10_000);
        return socket;
    }

    /**
     * Sends a frame and returns the Thrift type of the answer: 2 for a reply, 3 for an exception.
     */
    private static int answerType(Socket socket, byte[] frame) throws IOException {
        DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        out.writeInt(frame.length);
        out.write(frame);
        DataInputStream in = new DataInputStream(socket.getInputStream());
        byte[] answer = new byte[in.readInt()];
        in.readFully(answer);
        return new ThriftCodec(MAX_MESSAGE_BYTES).decode(answer, false).type();
    }

    private static void drain(Socket socket) throws IOException {
        while (socket.getInputStream().read() >= 0) {
            // reads until the other side closes
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await(20, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private int connections() {
        return (Integer) mMetrics.getGauges().get("peer.connections.in").getValue();
    }
}
