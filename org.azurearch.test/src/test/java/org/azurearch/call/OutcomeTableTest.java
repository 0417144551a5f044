package org.azurearch.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.azurearch.call.OutcomeTable.Status;
import org.azurearch.errors.ErrorCode;
import org.azurearch.lib.Verdict;
import org.junit.jupiter.api.Test;

/** Tests the outcome table and the claim table. */
class OutcomeTableTest {
    private static final long LIFETIME = 1_000;

    private final OutcomeTable<String> mTable = new OutcomeTable<>(2, 10, LIFETIME);

    @Property(tries = 500, seed = "5")
    void oneRequestPerTicketRunsInAnySequence(
            @ForAll @Size(max = 60) List<@IntRange(min = 0, max = 11) Integer> steps) {
        OutcomeTable<Integer> table = new OutcomeTable<>(100, 100, LIFETIME);
        Map<String, Integer> runs = new HashMap<>();
        Set<String> running = new HashSet<>();
        for (int i = 0; i < steps.size(); i++) {
            String ticket = "t" + steps.get(i) % 3;
            switch (steps.get(i) / 3) {
                case 0, 1 -> {
                    if (table.begin(ticket, "f", i, i).status() == Status.FIRST) {
                        assertTrue(
                                running.add(ticket), "two requests of one ticket run concurrently");
                        runs.merge(ticket, 1, Integer::sum);
                    }
                }
                case 2 -> {
                    if (running.remove(ticket)) {
                        table.complete(ticket, answer("ok"), i);
                    }
                }
                default -> {
                    if (running.remove(ticket)) {
                        table.release(ticket);
                        runs.merge(ticket, -1, Integer::sum);
                    }
                }
            }
        }
        runs.values().forEach(count -> assertTrue(count <= 1, "runs " + count));
    }

    @Test
    void fullTableRefusesAndEvictsNothingEarly() {
        assertEquals(Status.FIRST, mTable.begin("a", "f", "1", 0).status());
        assertEquals(Status.FIRST, mTable.begin("b", "f", "2", 0).status());
        assertEquals(Status.FULL, mTable.begin("c", "f", "3", 0).status());
        mTable.complete("a", answer("x"), 10);
        assertEquals(Status.FULL, mTable.begin("c", "f", "3", 10 + LIFETIME - 1).status());
        assertEquals(Status.KNOWN, mTable.begin("a", "f", "1", 10 + LIFETIME - 1).status());
        assertEquals(Status.FIRST, mTable.begin("c", "f", "3", 10 + LIFETIME).status());
    }

    @Test
    void waitingRequestsAreReturnedOnceAndLargeBodiesAreNotStored() {
        mTable.begin("a", "f", "first", 0);
        assertEquals(Status.WAITING, mTable.begin("a", "f", "second", 1).status());
        assertEquals(Status.WAITING, mTable.begin("a", "f", "third", 1).status());
        assertEquals(Status.MISMATCH, mTable.begin("a", "other", "x", 1).status());
        mTable.removeWaiting("a", "third");
        assertEquals(List.of("second"), mTable.complete("a", answer("more than ten"), 2));
        assertFalse(mTable.begin("a", "f", "late", 3).outcome().bodyKept());
    }

    @Test
    void firstClaimWinsUntilItExpiresByTheLogClock() {
        ClaimTable table = new ClaimTable(LIFETIME);
        table.apply("k", "first", 100);
        table.apply("k", "second", 200);
        assertEquals("first", table.ticket("k"));
        table.apply("other", "x", 1_099);
        assertEquals("first", table.ticket("k"));
        table.apply("k", "third", 1_100);
        assertEquals("third", table.ticket("k"));
        table.apply("late", "x", 5_000);
        assertNull(table.ticket("k"));
        assertEquals(1, table.size());
    }

    @Test
    void failureKeepsItsVerdict() {
        CallFailure failure = CallFailure.notRun(ErrorCode.OVERLOADED, "full");
        assertEquals(Verdict.NOT_RUN, StoredOutcome.failed(failure).failure().verdict());
        assertEquals(Verdict.MAY_HAVE_RUN, failure.withVerdict(Verdict.MAY_HAVE_RUN).verdict());
    }

    private static StoredOutcome answer(String body) {
        return new StoredOutcome(200, List.of(), true, body.getBytes(), null);
    }
}
