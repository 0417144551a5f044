package org.azurearch.internal.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import org.azurearch.internal.call.RawClient.Answer;
import org.azurearch.standin.proxy.FaultProxy;
import org.azurearch.standin.proxy.ProxyFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests under faults between two nodes that verdicts are correct and answers are not mixed up. */
class HopFaultTest {
    private static final int THREADS = 8;
    private static final int REQUESTS = 40;
    private static final String ORDERS_PROPERTY = "azurearch.test.orders";
    private static final int DEFAULT_ORDERS = 1_500;

    private final FakeMesh mMesh = new FakeMesh();
    private final AtomicInteger mNext = new AtomicInteger();
    private final AtomicInteger mAnswered = new AtomicInteger();
    private final ExecutorService mCallers = Executors.newFixedThreadPool(THREADS);
    private RawServer mServer;
    private FaultProxy mProxy;
    private FakeMesh.Node mEntry;

    @BeforeEach
    void start() throws IOException {
        mServer = new RawServer();
        mServer.script(
                (request, connection) -> RawServer.sendOk(connection, request.header("run-key")));
        mEntry = mMesh.start("entry");
        FakeMesh.Node destination = mMesh.start("destination");
        destination.announceBackend(mServer.address(), 20);
        mProxy = FaultProxy.start(destination.address());
        destination.advertise(mProxy.address());
    }

    @AfterEach
    void stop() throws IOException {
        mCallers.shutdownNow();
        mMesh.close();
        mProxy.close();
        mServer.close();
    }

    @Test
    void verdictsAreCorrectUnderEachFault() throws Exception {
        List<ProxyFault> faults = new ArrayList<>();
        faults.add(ProxyFault.HALF_OPEN);
        faults.add(ProxyFault.CUT_ANSWER);
        faults.add(ProxyFault.DROP_ANSWERS);
        faults.add(ProxyFault.DROP_REQUESTS);
        faults.add(ProxyFault.CUT_REQUEST);
        faults.add(ProxyFault.CROSSED);
        faults.add(ProxyFault.delay(Duration.ofMillis(20)));
        for (int bytes : new int[] {1, 150, 300, 450, 600, 900}) {
            faults.add(ProxyFault.cutRequestAfter(bytes));
            faults.add(ProxyFault.cutAnswerAfter(bytes));
        }
        for (ProxyFault fault : faults) {
            mProxy.setFault(ProxyFault.NONE);
            sendOrders(THREADS, fault + " before");
            mProxy.setFault(fault);
            sendOrders(REQUESTS, fault.toString());
            mProxy.setFault(ProxyFault.NONE);
            mProxy.closeConnections();
        }
        assertTrue(mAnswered.get() > 0);
    }

    @Test
    void verdictsAreCorrectUnderMixedFaults() throws Exception {
        SplittableRandom random = new SplittableRandom(20261203);
        int[] cuts = random.ints(64, 0, 2_000).toArray();
        mProxy.setPlan(
                connection -> {
                    int bytes = cuts[connection % cuts.length];
                    return switch (connection % 3) {
                        case 0 -> ProxyFault.cutRequestAfter(bytes);
                        case 1 -> ProxyFault.cutAnswerAfter(bytes);
                        default -> ProxyFault.NONE;
                    };
                });
        sendOrders(Integer.getInteger(ORDERS_PROPERTY, DEFAULT_ORDERS), "mixed");
        assertTrue(mAnswered.get() > 0);
    }

    private void sendOrders(int count, String fault) throws Exception {
        List<Future<?>> sent = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String key = "key-" + mNext.incrementAndGet();
            sent.add(
                    mCallers.submit(
                            () -> {
                                sendOrderAndCheck(key, fault);
                                return null;
                            }));
        }
        for (Future<?> future : sent) {
            future.get();
        }
    }

    private void sendOrderAndCheck(String key, String fault) throws IOException {
        Answer answer =
                RawClient.call(
                        mEntry.address(),
                        RawClient.post(
                                "/orders",
                                "pallet",
                                "run-key: " + key,
                                "azurearch-deadline-millis: 150"));
        String context = fault + " " + key + " " + answer;
        int runs = mServer.runs(key);
        assertTrue(runs <= 1, "request ran more than once: " + context);
        if (answer.complete() && answer.status() == 200) {
            assertEquals(key, answer.body(), "answer to another request: " + context);
            assertEquals(1, runs, "answer to a request that has not run: " + context);
            mAnswered.incrementAndGet();
        } else if (answer.verdict().equals("not-run")) {
            assertEquals(0, runs, "false not-run: " + context);
        }
    }
}
