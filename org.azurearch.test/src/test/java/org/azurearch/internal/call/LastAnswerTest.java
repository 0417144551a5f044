package org.azurearch.internal.call;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.locks.LockSupport;
import org.azurearch.call.CallServer;
import org.azurearch.junit.Await;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a last answer that a reset drops, as further requests cross the close. */
class LastAnswerTest {
    /** Fits into the send buffer of the node, but not into the receive buffer of the caller. */
    private static final int ANSWER_BYTES = 300_000;

    private static final int RECEIVE_BUFFER_BYTES = 4_096;
    private static final int READ_TIMEOUT_MILLIS = 20_000;
    private static final int REQUESTS_AFTER = 100;
    private static final long REQUEST_INTERVAL_NANOS = 5_000_000L;

    private final FakeMesh mMesh = new FakeMesh();
    private final CountDownLatch mMayAnswer = new CountDownLatch(1);
    private final String mBody = "a".repeat(ANSWER_BYTES);
    private RawServer mServer;
    private FakeMesh.Node mEntry;

    @BeforeEach
    void start() throws IOException {
        mServer = new RawServer();
        mServer.script(
                (request, connection) -> {
                    Await.until("may answer", () -> mMayAnswer.getCount() == 0);
                    RawServer.sendOk(connection, mBody);
                });
        mEntry = mMesh.start("entry");
        mMesh.start("destination").announceBackend(mServer.address(), 1);
    }

    @AfterEach
    void stop() throws IOException {
        mMayAnswer.countDown();
        mMesh.close();
        mServer.close();
    }

    @Test
    void lastAnswerIsCompleteAlthoughItsCallerAskedForTheClose() throws Exception {
        mMayAnswer.countDown();
        try (Socket caller = connect()) {
            send(caller, RawClient.get("/stock", "connection: close"));
            Await.until("the call runs", () -> mServer.mRequestCount.get() == 1);
            assertAnswerComplete(caller);
        }
    }

    @Test
    void lastAnswerIsCompleteAlthoughTheNodeDrains() throws Exception {
        try (Socket caller = connect()) {
            send(caller, RawClient.get("/stock"));
            Await.until("the call runs", () -> mServer.mRequestCount.get() == 1);
            CompletableFuture<Void> drained = mEntry.mKernel.service(CallServer.class).drain();
            mMayAnswer.countDown();
            assertAnswerComplete(caller);
            drained.get();
        }
    }

    private Socket connect() throws IOException {
        Socket caller = new Socket();
        caller.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        caller.setSoTimeout(READ_TIMEOUT_MILLIS);
        caller.connect(new InetSocketAddress(mEntry.address().host(), mEntry.address().port()));
        return caller;
    }

    private void assertAnswerComplete(Socket caller) throws IOException {
        try {
            for (int i = 0; i < REQUESTS_AFTER; i++) {
                LockSupport.parkNanos(REQUEST_INTERVAL_NANOS);
                send(caller, RawClient.get("/stock/late"));
            }
        } catch (IOException e) {
            // The node has closed; what it sent before must still arrive.
        }
        byte[] received = caller.getInputStream().readAllBytes();
        String text = new String(received, StandardCharsets.ISO_8859_1);
        assertTrue(text.endsWith("\r\n\r\n" + mBody), received.length + " bytes received");
    }

    private static void send(Socket caller, String request) throws IOException {
        OutputStream out = caller.getOutputStream();
        out.write(request.getBytes(StandardCharsets.ISO_8859_1));
    }
}
