package org.azurearch.internal.member;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.azurearch.member.Board;
import org.junit.jupiter.api.Test;

class BoardTableTest {
    private final BoardTable mBoard = new BoardTable(2);

    @Test
    void laterExpiryWinsAndEntriesExpire() {
        assertTrue(mBoard.merge(entry("a", "new", 20), 0));
        assertFalse(mBoard.merge(entry("a", "old", 10), 0));
        assertEquals("new", mBoard.all().get(0).value());
        assertTrue(mBoard.expire(20));
        assertEquals(0, mBoard.hash());
    }

    @Test
    void fullBoardEvictsTheEntryThatExpiresFirst() {
        mBoard.merge(entry("a", "", 10), 0);
        mBoard.merge(entry("b", "", 20), 0);
        assertFalse(mBoard.merge(entry("c", "", 5), 0));
        assertTrue(mBoard.merge(entry("c", "", 30), 0));
        assertEquals(2, mBoard.all().size());
    }

    @Test
    void oversizeAndFarFutureEntriesAreRefused() {
        assertFalse(mBoard.merge(entry("a", "x".repeat(BoardTable.MAX_TEXT_CHARS + 1), 10), 0));
        long tooFar = BoardTable.MAX_TIME_TO_LIVE_MILLIS + 1;
        assertFalse(mBoard.merge(entry("a", "", tooFar), 0));
    }

    @Property(tries = 100, seed = "31")
    void mergeOrderDoesNotChangeTheContent(
            @ForAll List<@IntRange(min = 0, max = 9) Integer> keys, @ForAll long seed) {
        List<Board.Entry> entries = new ArrayList<>();
        for (int i = 0; i < keys.size(); i++) {
            entries.add(entry("k" + keys.get(i), "v" + i, 10 + i % 3));
        }
        BoardTable inOrder = new BoardTable(100);
        entries.forEach(entry -> inOrder.merge(entry, 0));
        Collections.shuffle(entries, new Random(seed));
        BoardTable shuffled = new BoardTable(100);
        entries.forEach(entry -> shuffled.merge(entry, 0));
        assertEquals(inOrder.hash(), shuffled.hash());
    }

    private static Board.Entry entry(String key, String value, long expiresAtMillis) {
        return new Board.Entry("kind", key, value, expiresAtMillis);
    }
}
