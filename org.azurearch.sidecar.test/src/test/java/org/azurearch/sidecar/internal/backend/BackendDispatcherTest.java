package org.azurearch.sidecar.internal.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.azurearch.junit.Await;
import org.azurearch.lib.NetAddress;
import org.azurearch.lib.Verdict;
import org.azurearch.sidecar.call.Attempt;
import org.azurearch.sidecar.call.AttemptFailure;
import org.azurearch.sidecar.call.BackendAnswer;
import org.azurearch.sidecar.call.HopCall;
import org.azurearch.sidecar.member.BackendRecord;
import org.azurearch.sidecar.member.Heartbeat;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Attempts that end without an answer, and what is sent to the backend server afterwards. */
class BackendDispatcherTest {
    private static final String SERVICE = "stock";
    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop mLoop = mGroup.next();
    private final BackendDispatcher mDispatcher = TestDispatchers.create(mLoop);
    private final List<Verdict> mVerdicts = Collections.synchronizedList(new ArrayList<>());
    private final List<String> mDetails = Collections.synchronizedList(new ArrayList<>());
    private RecordingServer mServer;

    @BeforeEach
    void start() throws Exception {
        mServer = new RecordingServer();
        updateSlots(2);
    }

    @AfterEach
    void stop() throws Exception {
        mServer.close();
        mGroup.shutdownGracefully();
    }

    /** Guards against slots held for ever, as the node that sent the call is gone. */
    @Test
    void attemptEndsByItselfOnceItsDeadlineHasPassed() throws Exception {
        onLoop(() -> submit("r", 200));
        Await.until("the attempt has ended", () -> !mVerdicts.isEmpty());
        assertEquals(List.of(Verdict.MAY_HAVE_RUN), mVerdicts);
        Await.untilEquals(0, mDispatcher::running);
        Await.untilEquals(List.of("r"), mServer::cancelled);
    }

    @Test
    void answerThatComesBeforeTheDeadlineIsPassedOn() throws Exception {
        mServer.release();
        onLoop(() -> submit("r", 60_000));
        Await.until("the attempt has ended", () -> !mVerdicts.isEmpty());
        assertEquals(List.of(Verdict.RAN), mVerdicts);
    }

    /** Guards against requests sent for callers that are gone, as one of them frees a slot. */
    @Test
    void waitingRequestIsNotSentWhileAllCallsOfItsPeerAreCancelled() throws Exception {
        mServer.release();
        onLoop(
                () -> {
                    submit("a", 60_000);
                    submit("b", 60_000);
                });
        Await.until("two connections are open", () -> mVerdicts.size() == 2);
        mServer.hold();
        updateSlots(1);
        List<Attempt> attempts = new ArrayList<>();
        onLoop(() -> attempts.add(submit("running", 60_000)));
        Await.until("one runs", () -> mServer.received().contains("running"));
        onLoop(() -> attempts.add(submit("waiting", 60_000)));
        onLoop(() -> attempts.forEach(Attempt::cancel));
        Await.untilEquals(List.of("running"), mServer::cancelled);
        mServer.release();
        onLoop(() -> submit("next", 60_000));
        Await.until("the next one has its answer", () -> mVerdicts.size() == 3);
        assertEquals(List.of("running", "next"), mServer.received().subList(2, 4));
        assertEquals(4, mServer.received().size());
    }

    /** Guards against requests that are cut off at the end of a planned stop. */
    @Test
    void requestThatWouldOutlastStopIsRefused() throws Exception {
        onLoop(() -> mDispatcher.stopAt(System.nanoTime() + TimeUnit.SECONDS.toNanos(5)));
        onLoop(() -> submit("long", 60_000));
        Await.until("the long one is refused", () -> !mVerdicts.isEmpty());
        assertEquals(List.of(Verdict.NOT_RUN), mVerdicts);
        mServer.release();
        onLoop(() -> submit("short", 3_000));
        Await.untilEquals(List.of("short"), mServer::received);
    }

    /** Guards against requests of one service that run at a server of another one. */
    @Test
    void waitingRequestIsRefusedWhenServerOfAnotherServiceTakesThePlace() throws Exception {
        runOneAndQueueOne();
        replace("j", 2, "web", BackendRecord.NO_LIMIT);
        Await.until("both have ended", () -> mVerdicts.size() == 2);
        assertEquals(Set.of(Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN), Set.copyOf(mVerdicts));
        assertEquals(List.of("running"), mServer.received());
    }

    /** Guards against slots of a new server that are held by requests at the one before it. */
    @ParameterizedTest
    @CsvSource({"j, 2", "i, 2"})
    void waitingRequestRunsAtOnceAtTheNextServerOfItsService(String instance, long started)
            throws Exception {
        runOneAndQueueOne();
        mServer.release();
        replace(instance, started, SERVICE, BackendRecord.NO_LIMIT);
        Await.until("both have ended", () -> mVerdicts.size() == 2);
        assertEquals(List.of(Verdict.MAY_HAVE_RUN, Verdict.RAN), mVerdicts);
        Await.untilEquals(List.of("running"), mServer::cancelled);
        Await.untilEquals(0, mDispatcher::running);
    }

    /** Guards against a slot that is held while a connection to a replaced server is opened. */
    @Test
    void attemptWithoutConnectionEndsWhenItsServerIsReplaced() throws Exception {
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Socket first = new Socket(full.getInetAddress(), full.getLocalPort());
                Socket second = new Socket(full.getInetAddress(), full.getLocalPort())) {
            assertTrue(first.isConnected() && second.isConnected());
            updateBackend("full", 2, SERVICE, full.getLocalPort(), 1, BackendRecord.NO_LIMIT);
            onLoop(() -> submit("connecting", 60_000));
            replace("j", 3, SERVICE, BackendRecord.NO_LIMIT);
            Await.until("it has ended", () -> !mVerdicts.isEmpty());
            assertEquals(List.of(Verdict.NOT_RUN), mVerdicts);
            assertEquals(List.of("the backend server was replaced"), mDetails);
            assertEquals(0, mDispatcher.running());
        }
    }

    /** Guards against a request that hangs servers again and again, each replaced at once. */
    @Test
    void requestUnderWhichServersAreReplacedIsContained() throws Exception {
        for (int i = 1; i <= 2; i++) {
            int runs = i;
            onLoop(() -> submit("r", 60_000));
            Await.until("it runs", () -> mServer.received().size() == runs);
            replace("j" + i, 1 + i, SERVICE, BackendRecord.NO_LIMIT);
            Await.until("it has ended", () -> mVerdicts.size() == runs);
        }
        onLoop(() -> submit("r", 60_000));
        Await.until("it is refused", () -> mVerdicts.size() == 3);
        assertEquals(Verdict.NOT_RUN, mVerdicts.get(2));
        assertEquals(2, mServer.received().size());
    }

    /** Guards against limits and failures of an earlier run that count for a restarted server. */
    @Test
    void restartedServerHasNeitherLimitNorFailuresOfItsEarlierRun() throws Exception {
        replace("j", 2, SERVICE, 0.5);
        onLoop(() -> submit("lost", 60_000));
        Await.untilEquals(List.of("lost"), mServer::received);
        mServer.closeConnections();
        Await.until("it has failed", () -> mVerdicts.size() == 1);
        onLoop(() -> assertTrue(mDispatcher.load().failurePercent() > 0));
        mServer.release();
        replace("j", 3, SERVICE, BackendRecord.NO_LIMIT);
        onLoop(() -> assertEquals(0, mDispatcher.load().failurePercent()));
        onLoop(() -> assertEquals(0, mDispatcher.load().startWaitMillis()));
    }

    /** Guards against requests at a rolled-back version, or refused at the version after it. */
    @Test
    void rejectionIsThatOfTheVersionOfThePresentRun() throws Exception {
        mDispatcher.rejectIf(backend -> backend.version().equals("bad"));
        mServer.release();
        replace("j", 2, "bad");
        onLoop(() -> submit("refused", 60_000));
        Await.until("it is refused", () -> mVerdicts.equals(List.of(Verdict.NOT_RUN)));
        replace("k", 3, "good");
        onLoop(() -> submit("served", 60_000));
        Await.until("it has run", () -> mVerdicts.size() == 2);
        assertEquals(List.of("served"), mServer.received());
    }

    private void replace(String instance, long started, String version) throws Exception {
        NetAddress address = new NetAddress("127.0.0.1", mServer.port());
        Heartbeat backend =
                new Heartbeat(instance, started, 1, SERVICE, address, 1, false, 0, version);
        onLoop(() -> mDispatcher.updateBackend(backend, BackendRecord.NO_LIMIT));
    }

    private void runOneAndQueueOne() throws Exception {
        updateSlots(1);
        onLoop(() -> submit("running", 60_000));
        Await.untilEquals(List.of("running"), mServer::received);
        onLoop(() -> submit("waiting", 60_000));
        assertEquals(1, mDispatcher.waiting());
    }

    private void updateSlots(int slots) throws Exception {
        updateBackend("i", 1, SERVICE, mServer.port(), slots, BackendRecord.NO_LIMIT);
    }

    private void replace(String instance, long started, String service, double limit)
            throws Exception {
        updateBackend(instance, started, service, mServer.port(), 1, limit);
    }

    private void updateBackend(
            String instance, long started, String service, int port, int slots, double limit)
            throws Exception {
        NetAddress address = new NetAddress("127.0.0.1", port);
        Heartbeat backend = new Heartbeat(instance, started, 1, service, address, slots, false, 0);
        onLoop(() -> mDispatcher.updateBackend(backend, limit));
    }

    private Attempt submit(String id, long deadlineMillis) {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(deadlineMillis);
        return mDispatcher.submit(
                new HopCall(
                        1,
                        "GET",
                        "/" + id,
                        List.of("id", id),
                        new byte[0],
                        deadline,
                        deadline,
                        1,
                        SERVICE,
                        "route",
                        true),
                new VerdictListener());
    }

    private void onLoop(Runnable task) throws Exception {
        CompletableFuture.runAsync(task, mLoop).get();
    }

    private final class VerdictListener implements Attempt.Listener {
        @Override
        public void answered(BackendAnswer answer) {
            mVerdicts.add(Verdict.RAN);
        }

        @Override
        public void failed(AttemptFailure failure) {
            mDetails.add(failure.detail());
            mVerdicts.add(failure.verdict());
        }
    }
}
