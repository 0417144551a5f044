package org.azurearch.internal.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.internal.call.RawClient.Answer;
import org.azurearch.lib.NetAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that a repeated non-idempotent request runs at most once, on any node and after faults. */
class AtMostOnceTest {
    private final FakeMesh mMesh = new FakeMesh();
    private RawServer mServer;
    private FakeMesh.Node mFirst;
    private FakeMesh.Node mSecond;

    @BeforeEach
    void start() throws IOException {
        mServer = new RawServer();
        mServer.script((request, connection) -> RawServer.sendOk(connection, "order 1"));
        mFirst = mMesh.start("first");
        mSecond = mMesh.start("second");
        mMesh.start("third").announceBackend(mServer.address(), 20);
    }

    @AfterEach
    void stop() throws IOException {
        mMesh.close();
        mServer.close();
    }

    @Test
    void repetitionOnAnyNodeGetsTheFirstAnswer() throws IOException {
        String ticket = ticket(mFirst);
        for (FakeMesh.Node node : List.of(mFirst, mSecond, mFirst, mSecond)) {
            Answer answer = order(node, "a", "azurearch-ticket: " + ticket);
            assertEquals("200 order 1 ran", summary(answer), answer.toString());
        }
        assertEquals(1, mServer.runs("a"));
    }

    @Test
    void answerContainsTicketForLaterCall() throws IOException {
        String ticket = order(mFirst, "a").header("azurearch-ticket");
        assertFalse(ticket.isEmpty());
        order(mSecond, "b", "azurearch-ticket: " + ticket);
        order(mSecond, "b", "azurearch-ticket: " + ticket);
        assertEquals(1, mServer.runs("b"));
    }

    @Test
    void repetitionsWaitForTheRunningRequest() throws Exception {
        CountDownLatch mayAnswer = new CountDownLatch(1);
        CountDownLatch arrived = new CountDownLatch(1);
        mServer.script(
                (request, connection) -> {
                    arrived.countDown();
                    await(mayAnswer);
                    RawServer.sendOk(connection, "order 1");
                });
        String ticket = ticket(mFirst);
        List<CompletableFuture<Answer>> answers = new ArrayList<>();
        answers.add(orderAsync(mFirst, ticket));
        arrived.await();
        for (int i = 0; i < 4; i++) {
            answers.add(orderAsync(i % 2 == 0 ? mFirst : mSecond, ticket));
        }
        mayAnswer.countDown();
        for (CompletableFuture<Answer> answer : answers) {
            assertEquals("200 order 1 ran", summary(answer.get()));
        }
        assertEquals(1, mServer.runs("a"));
    }

    @Test
    void repetitionThatTimesOutMayHaveRun() throws Exception {
        CountDownLatch mayAnswer = new CountDownLatch(1);
        CountDownLatch arrived = new CountDownLatch(1);
        mServer.script(
                (request, connection) -> {
                    arrived.countDown();
                    await(mayAnswer);
                    RawServer.sendOk(connection, "order 1");
                });
        String ticket = ticket(mFirst);
        CompletableFuture<Answer> first = orderAsync(mFirst, ticket);
        arrived.await();
        for (FakeMesh.Node node : List.of(mFirst, mSecond)) {
            Answer timedOut =
                    order(
                            node,
                            "a",
                            "azurearch-ticket: " + ticket,
                            "azurearch-deadline-millis: 60");
            assertEquals("may-have-run", timedOut.verdict(), timedOut.toString());
        }
        mayAnswer.countDown();
        assertEquals(200, first.get().status());
        assertEquals(1, mServer.runs("a"));
    }

    @Test
    void repetitionAfterDisconnectGetsTheAnswer() throws Exception {
        CountDownLatch mayAnswer = new CountDownLatch(1);
        CountDownLatch arrived = new CountDownLatch(1);
        mServer.script(
                (request, connection) -> {
                    arrived.countDown();
                    await(mayAnswer);
                    RawServer.sendOk(connection, "order 1");
                });
        String ticket = ticket(mFirst);
        try (RawClient disconnecting = new RawClient(mFirst.address())) {
            disconnecting.send(
                    RawClient.post("/orders", "x", "run-key: a", "azurearch-ticket: " + ticket));
            arrived.await();
        }
        CompletableFuture<Answer> again = orderAsync(mSecond, ticket);
        mayAnswer.countDown();
        assertEquals("200 order 1 ran", summary(again.get()));
        assertEquals(1, mServer.runs("a"));
    }

    @Test
    void lostAnswerNeverCausesAnotherRun() throws IOException {
        mServer.script((request, connection) -> connection.close());
        String ticket = ticket(mFirst);
        assertEquals("may-have-run", order(mFirst, "a", "azurearch-ticket: " + ticket).verdict());
        mServer.script((request, connection) -> RawServer.sendOk(connection, "order 1"));
        Answer again = order(mSecond, "a", "azurearch-ticket: " + ticket);
        assertEquals("outcome-unknown may-have-run", again.code() + " " + again.verdict());
        assertEquals(1, mServer.runs("a"));
    }

    @Test
    void refusedRequestRunsOnRepetitionWithItsTicket() throws IOException {
        String ticket = ticket(mFirst);
        mMesh.mNodes.get("third").setBackendState(org.azurearch.member.BackendState.DRAINING);
        assertEquals("not-run", order(mFirst, "a", "azurearch-ticket: " + ticket).verdict());
        mMesh.mNodes.get("third").setBackendState(org.azurearch.member.BackendState.READY);
        assertEquals(200, order(mSecond, "a", "azurearch-ticket: " + ticket).status());
        assertEquals(1, mServer.runs("a"));
    }

    @Test
    void ticketOfStoppedNodeGivesUnknownOutcomeWithoutRun() throws IOException {
        String ticket = ticket(mFirst);
        mFirst.close();
        Answer answer = order(mSecond, "a", "azurearch-ticket: " + ticket);
        assertEquals("outcome-unknown may-have-run", answer.code() + " " + answer.verdict());
        mMesh.mNodes.get("first").advertise(new NetAddress("127.0.0.1", 1));
        assertEquals(0, mServer.runs("a"));
    }

    @Test
    void forgedAndReusedTicketsAreRefused() throws IOException {
        String ticket = ticket(mFirst);
        Answer forged =
                order(mFirst, "a", "azurearch-ticket: " + ticket.replace("first", "second"));
        assertEquals("bad-ticket", forged.code());
        order(mFirst, "a", "azurearch-ticket: " + ticket);
        Answer other =
                RawClient.call(
                        mFirst.address(),
                        RawClient.post("/orders/other", "x", "azurearch-ticket: " + ticket));
        assertEquals("bad-ticket", other.code());
        assertEquals(1, mServer.mRequestCount.get());
    }

    @Test
    void concurrentRequestsWithOneKeyRunOnce() throws Exception {
        List<CompletableFuture<Answer>> answers = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            FakeMesh.Node node = i % 2 == 0 ? mFirst : mSecond;
            answers.add(supplyAsync(() -> order(node, "k", "idempotency-key: k")));
        }
        for (CompletableFuture<Answer> answer : answers) {
            assertEquals("200 order 1 ran", summary(answer.get()), answer.get().toString());
        }
        assertEquals(1, mServer.runs("k"));
    }

    @Test
    void requestWithKeyIsNotRunWhileTheLogIsDown() throws IOException {
        mMesh.mLog.mFailure = new AzurearchException(ErrorCode.LOG_UNAVAILABLE, "down");
        Answer answer = order(mFirst, "k", "idempotency-key: k");
        assertEquals("log-unavailable", answer.code());
        assertEquals(0, mServer.runs("k"));
        mMesh.mLog.mFailure = null;
        assertEquals(200, order(mSecond, "k", "idempotency-key: k").status());
        assertEquals(1, mServer.runs("k"));
    }

    @Test
    void claimReadAfterTheDeadlineRunsOnlyForTheRepetition() throws IOException {
        mMesh.mLog.mHoldReads = true;
        Answer late = order(mFirst, "k", "idempotency-key: k", "azurearch-deadline-millis: 100");
        assertEquals("deadline-exceeded may-have-run", late.code() + " " + late.verdict());
        mMesh.mLog.releaseReads();
        assertEquals("200 order 1 ran", summary(order(mSecond, "k", "idempotency-key: k")));
        assertEquals(1, mServer.runs("k"));
    }

    @Test
    void lostAppendAnswerIsFoundInTheLog() throws IOException {
        mMesh.mLog.mFailAfterAppend = true;
        mMesh.mLog.mFailure = new AzurearchException(ErrorCode.LOG_RESULT_UNKNOWN, "lost");
        Answer answer = order(mFirst, "k", "idempotency-key: k");
        assertEquals("200 order 1 ran", summary(answer), answer.toString());
        order(mSecond, "k", "idempotency-key: k");
        assertEquals(1, mServer.runs("k"));
    }

    private static String summary(Answer answer) {
        return answer.status() + " " + answer.body() + " " + answer.verdict();
    }

    private static String ticket(FakeMesh.Node node) throws IOException {
        Answer answer =
                RawClient.call(node.address(), RawClient.get("/.well-known/azurearch/ticket"));
        assertTrue(answer.body().contains(answer.header("azurearch-ticket")));
        return answer.header("azurearch-ticket");
    }

    private static Answer order(FakeMesh.Node node, String key, String... headers)
            throws IOException {
        List<String> all = new ArrayList<>(List.of(headers));
        all.add("run-key: " + key);
        return RawClient.call(
                node.address(), RawClient.post("/orders", "x", all.toArray(new String[0])));
    }

    private static CompletableFuture<Answer> orderAsync(FakeMesh.Node node, String ticket) {
        return supplyAsync(() -> order(node, "a", "azurearch-ticket: " + ticket));
    }

    private interface AnswerSupplier {
        Answer get() throws IOException;
    }

    private static CompletableFuture<Answer> supplyAsync(AnswerSupplier supplier) {
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                answer.complete(supplier.get());
                            } catch (IOException e) {
                                answer.completeExceptionally(e);
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        return answer;
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
