package org.azurearch.sidecar.internal.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Guards against readers whose reads of the store all end at the same time, or seldom. */
class PollScheduleTest {
    private static final long APPLY_MILLIS = 2_500;

    @Test
    void readsOfAllReadersEndInTurnAfterRecords() {
        for (int readers = 1; readers <= 10; readers++) {
            TreeSet<Long> ends = new TreeSet<>();
            for (int position = 0; position < readers; position++) {
                PollSchedule schedule = schedule(position, readers);
                long end = schedule.nextWait(true).toMillis();
                for (int i = 0; i < 20; i++) {
                    ends.add(end);
                    end += schedule.nextWait(false).toMillis();
                }
            }
            assertEquals(20 * readers, ends.size(), readers + " readers: " + ends);
            long before = 0;
            for (long end : ends) {
                assertTrue(end - before <= 0.4 * APPLY_MILLIS, readers + " readers: " + ends);
                before = end;
            }
        }
    }

    @Test
    void readersThatStartTogetherTakeTurns() {
        PollSchedule first = schedule(0, 1);
        PollSchedule second = schedule(0, 1);
        assertEquals(first.nextWait(false), second.nextWait(false));
        first.setTurn(0, 2);
        second.setTurn(1, 2);
        assertTrue(first.nextWait(false).compareTo(second.nextWait(false)) < 0);
        assertEquals(first.nextWait(false), second.nextWait(false));
    }

    @Test
    void nodeThatReadsForItselfTakesTheFirstTurn() {
        assertEquals(schedule(0, 1).nextWait(true), schedule(-1, 0).nextWait(true));
        assertEquals(schedule(0, 1).nextWait(false), schedule(-1, 0).nextWait(false));
    }

    @Test
    void lostReadIsNoticedBeforeTheConfigurationMayNotBeUsed() {
        PollSchedule schedule = schedule(0, 1);
        ConfigLease lease = new ConfigLease(APPLY_MILLIS * 1_000_000);
        lease.confirmed(0, "read");
        long noticed = schedule.nextWait(false).plus(schedule.lostAfter()).toNanos();
        assertTrue(!lease.ended(noticed));
    }

    private static PollSchedule schedule(int position, int readers) {
        PollSchedule schedule = new PollSchedule(APPLY_MILLIS);
        schedule.setTurn(position, readers);
        return schedule;
    }
}
