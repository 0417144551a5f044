package org.azurearch.sidecar.admit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Admission, order and refusal of requests that exceed the slots. */
class BackendQueueTest {
    private static final long MILLI = 1_000_000L;

    private final BackendQueue<String> mQueue = new BackendQueue<>();

    @Test
    void startsWhileSlotsAreFree() {
        mQueue.setSlots(2);
        assertEquals(BackendQueue.Decision.START, offer("a", 1, 300, 1_000, 100));
        assertEquals(BackendQueue.Decision.START, offer("b", 1, 300, 1_000, 100));
        assertEquals(BackendQueue.Decision.WAIT, offer("c", 1, 300, 1_000, 100));
        assertEquals(2, mQueue.running());
        assertEquals(1, mQueue.waiting());
    }

    @Test
    void refusesOnArrivalIfDeadlineCannotBeMet() {
        mQueue.setSlots(1);
        assertEquals(BackendQueue.Decision.REFUSE, offer("late", 1, 300, 50, 100));
        assertEquals(BackendQueue.Decision.START, offer("a", 1, 300, 1_000, 100));
        for (int i = 0; i < 4; i++) {
            offer("w" + i, 1, 300, 1_000, 100);
        }
        assertEquals(BackendQueue.Decision.REFUSE, offer("x", 1, 300, 400, 100));
    }

    @Test
    void requestsBeyondNamedLimitWaitOrAreRefused() {
        mQueue.setSlots(6);
        mQueue.limitStarts(5, 0);
        assertEquals(BackendQueue.Decision.START, offer("a", 1, 500, 1_000, 100));
        assertEquals(BackendQueue.Decision.WAIT, offer("b", 1, 500, 1_000, 100));
        assertNull(mQueue.startNext(0), "slots are free but the limit allows no start");
        assertEquals(BackendQueue.Decision.WAIT, offer("c", 1, 600, 1_000, 100));
        assertEquals(BackendQueue.Decision.REFUSE, offer("d", 1, 250, 1_000, 100));
        assertTrue(mQueue.backlogMillis(0) >= 600, "backlog " + mQueue.backlogMillis(0));
        assertEquals("b", mQueue.startNext(200 * MILLI));
        assertNull(mQueue.startNext(200 * MILLI));
    }

    @Test
    void startsUrgentRankFirst() {
        mQueue.setSlots(1);
        QueuedRequest running = request(2, 300, 1_000, 100);
        mQueue.offer("running", running, 0);
        offer("patient", 2, 300, 1_000, 100);
        offer("urgent", 1, 400, 1_000, 100);
        mQueue.release(running);
        assertEquals("urgent", mQueue.startNext(0));
        assertNull(mQueue.startNext(0));
    }

    @Test
    void startsRequestOfBackendServerBeforeAllOthers() {
        mQueue.setSlots(1);
        QueuedRequest running = request(1, 300, 1_000, 50);
        mQueue.offer("running", running, 0);
        offer("urgent", 0, 300, 1_000, 50);
        QueuedRequest inner = new QueuedRequest("r", 9, true, 100 * MILLI, 250 * MILLI, 20);
        mQueue.offer("inner", inner, 0);
        mQueue.release(running);
        assertEquals("inner", mQueue.startNext(0));
    }

    @Test
    void prefersRequestThatStillMeetsTarget() {
        mQueue.setSlots(1);
        QueuedRequest running = request(1, 300, 1_000, 50);
        mQueue.offer("running", running, 0);
        offer("missed", 1, 110, 2_000, 100);
        offer("fresh", 1, 300, 2_000, 100);
        mQueue.release(running);
        assertEquals("fresh", mQueue.startNext(60 * MILLI));
    }

    @Test
    void removesWaitingRequestsWithoutTimeLeft() {
        mQueue.setSlots(1);
        mQueue.offer("running", request(1, 300, 1_000, 50), 0);
        offer("a", 1, 300, 400, 100);
        assertTrue(mQueue.removeExpired(300 * MILLI).isEmpty());
        assertEquals(List.of("a"), mQueue.removeExpired(345 * MILLI));
        assertEquals(0, mQueue.waiting());
    }

    /**
     * Guards against a request that waits to its deadline: its entry then has to answer that it may
     * have run. The refusal must be sent 15 ms before, at the latest of the sweeps every 25 ms.
     */
    @Test
    void refusesShortRequestsBeforeTheirDeadline() {
        for (int phase = 0; phase < 25; phase++) {
            BackendQueue<String> queue = new BackendQueue<>();
            queue.offer("running", request(1, 300, 1_000, 1), 0);
            queue.offer("a", request(1, 300, 300, 1), 0);
            long refused = -1;
            for (long now = phase; now < 400 && refused < 0; now += 25) {
                refused = queue.removeExpired(now * MILLI).isEmpty() ? -1 : now;
            }
            assertTrue(refused >= 0 && refused <= 285, "refused at " + refused);
            assertTrue(refused >= 235, "refused too early, at " + refused);
        }
    }

    @Test
    void removesCancelledRequests() {
        mQueue.setSlots(1);
        mQueue.offer("running", request(1, 300, 1_000, 50), 0);
        String waiting = "waiting";
        offer(waiting, 1, 300, 1_000, 50);
        assertTrue(mQueue.cancel(waiting));
        assertEquals(0, mQueue.waiting());
    }

    @Test
    void shortUrgentRequestIsNotRefusedBecauseOfLongOnesBehindIt() {
        mQueue.setSlots(6);
        for (int i = 0; i < 6; i++) {
            offer("running" + i, 2, 1_200, 8_000, 500);
        }
        for (int i = 0; i < 20; i++) {
            offer("patient" + i, 2, 2_000, 8_000, 500);
        }
        assertEquals(BackendQueue.Decision.WAIT, offer("short", 0, 150, 500, 40));
        assertEquals(BackendQueue.Decision.WAIT, offer("second", 0, 150, 500, 40));
    }

    @Test
    void urgentCallersAreServedInTimeAtTwiceTheCapacity() {
        mQueue.setSlots(4);
        LoadSimulation simulation = new LoadSimulation(mQueue, 100);
        simulation.run(10_000, 12, 2);
        assertTrue(
                simulation.inTime("urgent") >= 0.95,
                "urgent in time: " + simulation.inTime("urgent"));
        assertTrue(simulation.refusedEarly() >= 0.9, "refused early: " + simulation.refusedEarly());
    }

    /** Guards against telling want of slots from want of the link by link_excess_ms alone. */
    @Test
    void lineOfRefusalForSlotsSaysSoThoughTheAnswerWouldAlsoBeLate() {
        LinkLoad link = new LinkLoad(8);
        BackendQueue<String> queue = new BackendQueue<>(link);
        queue.offer("running", download(1_000, 8_000, 500), 0);
        assertEquals(
                "reason=slots waiting=0 running=1 link_excess_ms=150",
                refusal(queue, download(600, 700, 400)));
        link.sent("r", 0, 1_000_000, 0);
        assertEquals(
                "reason=link waiting=0 running=1 link_excess_ms=200",
                refusal(queue, download(1_000, 1_200, 500)));
    }

    @Test
    void lineOfRefusalForTheLinkSaysSoWhileSlotsAreFree() {
        LinkLoad link = new LinkLoad(8);
        BackendQueue<String> queue = new BackendQueue<>(link);
        link.sent("r", 0, 1_000_000, 0);
        assertEquals(
                "reason=link waiting=0 running=0 link_excess_ms=800",
                refusal(queue, download(300, 400, 100)));
    }

    @Test
    void lineOfRefusalNamesDeadlineAndLimit() {
        BackendQueue<String> queue = new BackendQueue<>();
        queue.setSlots(2);
        queue.limitStarts(1, 0);
        assertEquals(
                "reason=deadline waiting=0 running=0", refusal(queue, request(1, 300, 50, 100)));
        queue.offer("running", request(1, 300, 1_000, 100), 0);
        assertEquals("reason=limit waiting=0 running=1", refusal(queue, request(1, 300, 800, 100)));
        queue.endLimit();
        queue.offer("second", request(1, 300, 1_000, 100), 0);
        assertEquals("reason=slots waiting=0 running=2", refusal(queue, request(1, 110, 150, 100)));
    }

    private static String refusal(BackendQueue<String> queue, QueuedRequest request) {
        assertEquals(BackendQueue.Decision.REFUSE, queue.offer("refused", request, 0));
        return queue.describe(request, 0);
    }

    private static QueuedRequest download(long targetMillis, long deadlineMillis, double work) {
        return new QueuedRequest(
                "r", 1, false, targetMillis * MILLI, deadlineMillis * MILLI, work, "", 1, 100);
    }

    private BackendQueue.Decision offer(
            String item, int rank, long targetMillis, long deadlineMillis, double work) {
        return mQueue.offer(item, request(rank, targetMillis, deadlineMillis, work), 0);
    }

    private static QueuedRequest request(
            int rank, long targetMillis, long deadlineMillis, double work) {
        return new QueuedRequest(
                "r" + rank, rank, false, targetMillis * MILLI, deadlineMillis * MILLI, work);
    }
}
