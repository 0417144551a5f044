package org.azurearch.internal.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.azurearch.junit.ManualTimerService;
import org.junit.jupiter.api.Test;

/** How much memory requests get, and which of them. */
class RequestMemoryTest {
    private static final int KB = 1_024;
    private static final int MAX_BYTES = 200 * KB;
    private static final int LARGE_BYTES = 40 * KB;
    private static final int STEPS = 500;
    private static final int MAX_LEASES = 40;

    private final ManualTimerService mTimers = new ManualTimerService();
    private final List<Long> mReports = new ArrayList<>();
    private final RequestMemory mMemory =
            new RequestMemory(MAX_BYTES, mTimers.time(), (refused, held) -> mReports.add(refused));

    @Test
    void largeRequestsLeaveHalfToSmallOnes() {
        assertTrue(mMemory.lease().tryAdd(LARGE_BYTES));
        assertTrue(mMemory.lease().tryAdd(LARGE_BYTES));
        RequestMemory.Lease third = mMemory.lease();
        assertFalse(third.tryAdd(LARGE_BYTES));
        assertTrue(third.tryAdd(KB));
        for (int i = 0; i < 4; i++) {
            assertTrue(mMemory.lease().tryAdd(20 * KB));
        }
    }

    @Test
    void requestThatGrowsCountsAsLargeWithAllThatItHolds() {
        List<RequestMemory.Lease> growing = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            growing.add(mMemory.lease());
            assertTrue(growing.get(i).tryAdd(30 * KB));
        }
        assertTrue(growing.get(0).tryAdd(6 * KB));
        assertTrue(growing.get(1).tryAdd(2 * KB + 1));
        assertFalse(growing.get(2).tryAdd(30 * KB));
    }

    @Test
    void releaseGivesBackEverythingOnce() {
        RequestMemory.Lease lease = mMemory.lease();
        assertTrue(lease.tryAdd(LARGE_BYTES));
        lease.release();
        lease.release();
        assertEquals(0, mMemory.heldBytes());
        assertTrue(mMemory.lease().tryAdd(2 * LARGE_BYTES));
    }

    @Test
    void refusalsAreReportedOncePerSecond() {
        mMemory.lease().refusal();
        mMemory.lease().refusal();
        mMemory.lease().refusal();
        assertEquals(List.of(1L), mReports);
        mTimers.advance(Duration.ofSeconds(1));
        mMemory.lease().refusal();
        assertEquals(List.of(1L, 3L), mReports);
        assertEquals(4, mMemory.refused());
    }

    /** Whatever requests do, the limit holds, and what has ended takes nothing. */
    @Property(tries = 300, seed = "20261207")
    void limitHoldsInAnyOrder(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        RequestMemory memory = new RequestMemory(MAX_BYTES, mTimers.time(), (refused, held) -> {});
        List<RequestMemory.Lease> open = new ArrayList<>();
        for (int i = 0; i < STEPS; i++) {
            if (open.size() < MAX_LEASES && random.nextInt(3) == 0) {
                open.add(memory.lease());
            } else if (!open.isEmpty()) {
                int chosen = random.nextInt(open.size());
                if (random.nextInt(8) == 0) {
                    open.remove(chosen).release();
                } else {
                    open.get(chosen).tryAdd(random.nextInt(1, 12 * KB));
                }
            }
            long used = open.stream().mapToLong(RequestMemory.Lease::bytes).sum();
            assertTrue(used <= memory.heldBytes() && memory.heldBytes() <= MAX_BYTES);
        }
        open.forEach(RequestMemory.Lease::release);
        assertEquals(0, memory.heldBytes());
        assertTrue(memory.lease().tryAdd(MAX_BYTES / 2));
    }
}
