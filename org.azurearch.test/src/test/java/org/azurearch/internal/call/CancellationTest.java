package org.azurearch.internal.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.azurearch.call.CallServer;
import org.azurearch.internal.call.RawClient.Answer;
import org.azurearch.junit.Await;
import org.azurearch.lib.ServiceId;
import org.azurearch.standin.proxy.FaultProxy;
import org.azurearch.standin.proxy.ProxyFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests cancellation on disconnect, refusal under overload and draining. */
class CancellationTest {
    private final FakeMesh mMesh = new FakeMesh().queueLength(1);
    private final CountDownLatch mMayAnswer = new CountDownLatch(1);
    private RawServer mServer;
    private FakeMesh.Node mEntry;
    private FakeMesh.Node mDestination;

    @BeforeEach
    void start() throws IOException {
        mServer = new RawServer();
        mServer.script(
                (request, connection) -> {
                    if (request.path().endsWith("held")) {
                        await(mMayAnswer);
                    }
                    RawServer.sendOk(connection, "ok");
                });
        mEntry = mMesh.start("entry");
        mDestination = mMesh.start("destination");
        mDestination.announceBackend(mServer.address(), 1);
    }

    @AfterEach
    void stop() throws IOException {
        mMayAnswer.countDown();
        mMesh.close();
        mServer.close();
    }

    @Test
    void disconnectCancelsTheQueuedCall() throws IOException {
        try (RawClient running = new RawClient(mEntry.address())) {
            running.send(RawClient.get("/stock/held"));
            Await.until("the first call runs", () -> mServer.mRequestCount.get() == 1);
            try (RawClient waiting = new RawClient(mEntry.address())) {
                waiting.send(RawClient.get("/stock"));
                Await.until("the second call waits", () -> gauge("calls.queue.depth") == 1);
            }
            Await.until("the queue is empty", () -> gauge("calls.queue.depth") == 0);
        }
        Await.until("the slot is free", () -> gauge("calls.slots.free") == 1);
        assertEquals(1, mServer.mRequestCount.get());
    }

    /** Guards against slots held for callers whose node cannot be reached any more. */
    @Test
    void callBehindLostLinkEndsAtItsDeadline() throws IOException {
        try (FaultProxy link = FaultProxy.start(mDestination.address())) {
            mDestination.advertise(link.address());
            try (RawClient caller = new RawClient(mEntry.address())) {
                caller.send(RawClient.get("/stock/held", "azurearch-deadline-millis: 1000"));
                Await.until("the call runs", () -> mServer.mRequestCount.get() == 1);
                link.setFault(ProxyFault.HALF_OPEN);
            }
            Await.until("the slot is free", () -> gauge("calls.slots.free") == 1);
        }
    }

    /** Guards against calls of one service that run at a server of another one. */
    @Test
    void queuedCallNeverRunsAtServerOfAnotherService() throws IOException {
        try (RawClient running = new RawClient(mEntry.address());
                RawClient waiting = new RawClient(mEntry.address())) {
            running.send(RawClient.get("/stock/held"));
            Await.until("the first call runs", () -> mServer.mRequestCount.get() == 1);
            waiting.send(RawClient.get("/stock"));
            Await.until("the second call waits", () -> gauge("calls.queue.depth") == 1);
            mDestination.announceBackend(ServiceId.fromString("web"), mServer.address(), 1);
            mMayAnswer.countDown();
            assertEquals("not-run", waiting.read().verdict());
        }
        assertEquals(1, mServer.mRequestCount.get());
    }

    /** Guards against slots of a new server that are held by calls at the one before it. */
    @Test
    void callsEndWhenServerOfAnotherServiceTakesTheAddress() throws IOException {
        try (RawClient running = new RawClient(mEntry.address());
                RawClient waiting = new RawClient(mEntry.address())) {
            running.send(RawClient.post("/orders/held", "x"));
            Await.until("the first call runs", () -> mServer.mRequestCount.get() == 1);
            waiting.send(RawClient.post("/orders/next", "x"));
            Await.until("the second call waits", () -> gauge("calls.queue.depth") == 1);
            mDestination.announceBackend(ServiceId.fromString("web"), mServer.address(), 1);
            assertEquals("may-have-run", running.read().verdict());
            Answer refused = waiting.read();
            assertEquals("no-backend-server not-run", refused.code() + " " + refused.verdict());
            Await.until("the slot is free", () -> gauge("calls.slots.free") == 1);
        }
        assertEquals(1, mServer.mRequestCount.get());
    }

    @Test
    void fullQueueRefusesAtOnceWithRetryAfter() throws IOException {
        try (RawClient running = new RawClient(mEntry.address());
                RawClient waiting = new RawClient(mEntry.address())) {
            running.send(RawClient.get("/stock/held"));
            Await.until("the first call runs", () -> mServer.mRequestCount.get() == 1);
            waiting.send(RawClient.get("/stock"));
            Await.until("the second call waits", () -> gauge("calls.queue.depth") == 1);
            Answer refused = RawClient.call(mEntry.address(), RawClient.get("/stock"));
            assertEquals("overloaded not-run", refused.code() + " " + refused.verdict());
            assertFalse(refused.header("retry-after").isEmpty());
            mMayAnswer.countDown();
            assertEquals(200, running.read().status());
            assertEquals(200, waiting.read().status());
        }
    }

    @Test
    void drainingServerGetsNoNewCallBeforePeersAreInformed() throws IOException {
        mDestination.drainBackendUnannounced();
        Answer answer = RawClient.call(mEntry.address(), RawClient.get("/stock"));
        assertEquals("no-backend-server not-run", answer.code() + " " + answer.verdict());
        assertEquals(0, mServer.mRequestCount.get());
    }

    @Test
    void drainLetsRunningCallsEnd() throws Exception {
        try (RawClient client = new RawClient(mEntry.address())) {
            client.send(RawClient.get("/stock/held"));
            Await.until("the call runs", () -> mServer.mRequestCount.get() == 1);
            CompletableFuture<Void> destination = drain(mDestination);
            CompletableFuture<Void> entry = drain(mEntry);
            assertFalse(destination.isDone());
            mMayAnswer.countDown();
            Answer answer = client.read();
            assertEquals("200 close", answer.status() + " " + answer.header("connection"));
            destination.get();
            entry.get();
            assertThrows(IOException.class, () -> new RawClient(mEntry.address()).close());
        }
    }

    /** Guards against requests that are taken late in a planned stop and cut off at its end. */
    @Test
    void requestTakenDuringDrainIsAnswered() throws Exception {
        mDestination.announceBackend(mServer.address(), 2);
        try (RawClient reader = new RawClient(mEntry.address());
                RawClient buyer = new RawClient(mEntry.address())) {
            reader.send(RawClient.get("/stock"));
            buyer.send(RawClient.get("/stock"));
            assertEquals(200, reader.read().status());
            assertEquals(200, buyer.read().status());
            CompletableFuture<Void> drained = drain(mEntry);
            reader.send(RawClient.get("/stock/held"));
            buyer.send(RawClient.post("/orders/held", "x"));
            Await.until("both run", () -> mServer.mRequestCount.get() == 4);
            assertFalse(drained.isDone());
            mMayAnswer.countDown();
            assertEquals(200, reader.read().status());
            assertEquals(200, buyer.read().status());
            drained.get();
        }
    }

    @Test
    void callThatReturnsToNodeOfItsChainIsRefused() throws IOException {
        mDestination.announceBackend(mServer.address(), 100);
        mServer.script(
                (request, connection) -> {
                    String context = "azurearch-context: " + request.header("azurearch-context");
                    String next = "/stock/" + mServer.mRequestCount.get();
                    Answer below = RawClient.call(mEntry.address(), RawClient.get(next, context));
                    RawServer.sendOk(
                            connection, below.status() == 200 ? below.body() : below.code());
                });
        Answer answer = RawClient.call(mEntry.address(), RawClient.get("/stock"));
        assertEquals("loop", answer.body());
        assertEquals(1, mServer.mRequestCount.get());
        Answer forged =
                RawClient.call(
                        mEntry.address(),
                        RawClient.get("/stock", "azurearch-context: 0~false~9~~x"));
        assertEquals("bad-request", forged.code());
    }

    private static CompletableFuture<Void> drain(FakeMesh.Node node) {
        return node.mKernel.service(CallServer.class).drain();
    }

    private int gauge(String name) {
        return (Integer) mDestination.mMetrics.getGauges().get(name).getValue();
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
