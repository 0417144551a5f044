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

/** Memory of outcomes and table of claims. */
class OutcomeTableTest {
    private static final long LIFETIME = 1_000;

    private final OutcomeTable<String> mMemory = new OutcomeTable<>(2, 10, LIFETIME);

    @Property(tries = 500, seed = "5")
    void ofAnySequenceOneRequestOfEachTicketRuns(
            @ForAll @Size(max = 60) List<@IntRange(min = 0, max = 11) Integer> steps) {
        OutcomeTable<Integer> memory = new OutcomeTable<>(100, 100, LIFETIME);
        Map<String, Integer> runs = new HashMap<>();
        Set<String> running = new HashSet<>();
        for (int i = 0; i < steps.size(); i++) {
            String ticket = "t" + steps.get(i) % 3;
            switch (steps.get(i) / 3) {
                case 0, 1 -> {
                    if (memory.begin(ticket, "f", i, i).status() == Status.FIRST) {
                        assertTrue(running.add(ticket), "two at once");
                        runs.merge(ticket, 1, Integer::sum);
                    }
                }
                case 2 -> {
                    if (running.remove(ticket)) {
                        memory.complete(ticket, answer("ok"), i);
                    }
                }
                default -> {
                    if (running.remove(ticket)) {
                        memory.release(ticket);
                        runs.merge(ticket, -1, Integer::sum);
                    }
                }
            }
        }
        runs.values().forEach(count -> assertTrue(count <= 1, "runs " + count));
    }

    @Test
    void fullMemoryRefusesAndForgetsNothingEarly() {
        assertEquals(Status.FIRST, mMemory.begin("a", "f", "1", 0).status());
        assertEquals(Status.FIRST, mMemory.begin("b", "f", "2", 0).status());
        assertEquals(Status.FULL, mMemory.begin("c", "f", "3", 0).status());
        mMemory.complete("a", answer("x"), 10);
        assertEquals(Status.FULL, mMemory.begin("c", "f", "3", 10 + LIFETIME - 1).status());
        assertEquals(Status.KNOWN, mMemory.begin("a", "f", "1", 10 + LIFETIME - 1).status());
        assertEquals(Status.FIRST, mMemory.begin("c", "f", "3", 10 + LIFETIME).status());
    }

    @Test
    void waitersAreHandedOutOnceAndLargeBodiesAreLeftOut() {
        mMemory.begin("a", "f", "first", 0);
        assertEquals(Status.WAITING, mMemory.begin("a", "f", "second", 1).status());
        assertEquals(Status.WAITING, mMemory.begin("a", "f", "third", 1).status());
        assertEquals(Status.MISMATCH, mMemory.begin("a", "other", "x", 1).status());
        mMemory.removeWaiting("a", "third");
        assertEquals(List.of("second"), mMemory.complete("a", answer("more than ten"), 2));
        assertFalse(mMemory.begin("a", "f", "late", 3).outcome().bodyKept());
    }

    @Test
    void firstClaimWinsUntilItExpiresByTheClockOfTheLog() {
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
