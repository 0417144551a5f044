package org.azurearch.sidecar.internal.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.azurearch.sidecar.account.QuotaPartitions;
import org.junit.jupiter.api.Test;

/** Guards against coordinators that have just started while others serve. */
class CoordinatorChoiceTest {
    private static final long START = 1_000_000;
    private static final long CHANGE_MILLIS = 5_000;
    private static final List<String> NONE = Collections.nCopies(QuotaPartitions.COUNT, "");

    private final Map<String, Long> mStarts = new LinkedHashMap<>();
    private final CoordinatorChoice mChoice = new CoordinatorChoice();

    @Test
    void nodeThatStartsPassesOverOthersThatHaveJustStarted() {
        nodes("new", START - 100);
        nodes("old", START - 60_000);
        assertEquals(QuotaPartitions.assign(List.of("old1", "old2")), choose(NONE, 0));
    }

    /** Guards against nodes that use other coordinators than all others for a while. */
    @Test
    void nodesChangeAtOnceWhicheverOfThemStartedLast() {
        nodes("new", START - 2_000);
        nodes("old", START - 60_000);
        List<String> old = choose(NONE, 0);
        assertEquals(old, choose(old, 1));
        assertEquals(old, choose(old, CHANGE_MILLIS - 2_001));
        List<String> expected = QuotaPartitions.assign(List.of("new1", "new2"));
        assertEquals(expected, choose(old, CHANGE_MILLIS - 2_000 + 1));
        assertEquals(expected, choose(NONE, CHANGE_MILLIS - 2_000 + 1));
    }

    @Test
    void nodesThatAllHaveJustStartedCoordinate() {
        nodes("new", START - 100);
        assertEquals(QuotaPartitions.assign(List.of("new1", "new2")), choose(NONE, 0));
    }

    /** Guards against one node that gets all messages of a mesh that starts after it. */
    @Test
    void fewThatWereThereDoNotCoordinateForAll() {
        for (String dataCentre : List.of("a", "b", "c")) {
            nodes(dataCentre, START - 100);
        }
        mStarts.put("a1", START - 60_000);
        assertFalse(Collections.frequency(choose(NONE, 0), "a1") > 1, "a1 gets all partitions");
    }

    @Test
    void nodeWhoseClockIsSomewhatAheadHasJustStarted() {
        nodes("ahead", START + 1_000);
        nodes("old", START - 60_000);
        assertEquals(QuotaPartitions.assign(List.of("old1", "old2")), choose(NONE, 0));
    }

    /** Guards against nodes that never coordinate, as their clocks are ahead of others. */
    @Test
    void clocksThatAreAheadDoNotBarNodes() {
        nodes("ahead", START + 3_600_000);
        nodes("old", START - 60_000);
        assertEquals(QuotaPartitions.assign(List.of("ahead1", "ahead2")), choose(NONE, 0));
    }

    private void nodes(String prefix, long startMillis) {
        mStarts.put(prefix + "1", startMillis);
        mStarts.put(prefix + "2", startMillis);
    }

    private List<String> choose(List<String> current, long afterMillis) {
        int first = mStarts.size() > 4 ? mStarts.size() : 2;
        return mChoice.choose(
                CoordinatorChoice.candidates(mStarts, first, START + afterMillis),
                current,
                mStarts::containsKey,
                afterMillis);
    }
}
