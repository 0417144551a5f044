package org.azurearch.sidecar.admit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Which answers are read while memory is short. */
class AnswerBudgetTest {
    private static final int CONNECTIONS = 6;
    private static final int MAX_BYTES = 1_000;
    private static final int SHARE_BYTES = 100;
    private static final int READ_BYTES = 50;
    private static final int MAX_ANSWER_BYTES = 800;

    private final AnswerBudget mBudget = new AnswerBudget(MAX_BYTES, SHARE_BYTES);

    private static final class Connection implements AnswerBudget.Reader {
        private final AnswerBudget.Holding mHolding;
        private int mBytes;
        private boolean mPaused;

        Connection(AnswerBudget budget) {
            mHolding = budget.open(this);
        }

        /** Reads on unless paused; an answer of the largest size is given up. */
        void read() {
            if (mPaused) {
                return;
            }
            mBytes += READ_BYTES;
            mHolding.add(READ_BYTES);
            if (mBytes >= MAX_ANSWER_BYTES) {
                end();
            }
        }

        void end() {
            mBytes = 0;
            mHolding.end();
        }

        @Override
        public void pause() {
            mPaused = true;
        }

        @Override
        public void resume() {
            mPaused = false;
        }
    }

    @Test
    void smallAnswersAreReadWhileMemoryIsFull() {
        Connection large = new Connection(mBudget);
        large.mHolding.add(2 * MAX_BYTES);
        Connection small = new Connection(mBudget);
        small.read();
        small.read();
        assertFalse(small.mPaused);
        small.read();
        assertTrue(small.mPaused);
        large.end();
        assertFalse(small.mPaused);
    }

    @Test
    void oldestLargeAnswerIsReadToItsEnd() {
        List<Connection> all = connections();
        all.forEach(connection -> connection.mHolding.add(MAX_BYTES / 2));
        assertFalse(all.get(0).mPaused);
        assertTrue(all.get(CONNECTIONS - 1).mPaused);
        all.get(0).read();
        assertFalse(all.get(0).mPaused);
        all.get(0).end();
        assertFalse(all.get(1).mPaused);
    }

    /** Guards against memory that fills up, and against answers that nothing reads any more. */
    @Property(tries = 2_000, seed = "20261205")
    void memoryIsBoundedAndSomethingIsAlwaysRead(
            @ForAll @Size(max = 400)
                    List<@IntRange(min = 0, max = 2 * CONNECTIONS) Integer> steps) {
        AnswerBudget budget = new AnswerBudget(MAX_BYTES, SHARE_BYTES);
        List<Connection> all = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            all.add(new Connection(budget));
        }
        for (int step : steps) {
            Connection connection = all.get(step % CONNECTIONS);
            if (step == 2 * CONNECTIONS) {
                connection.end();
            } else {
                connection.read();
            }
            int held = all.stream().mapToInt(each -> each.mBytes).sum();
            int shares = CONNECTIONS * (SHARE_BYTES + READ_BYTES);
            assertTrue(held <= MAX_BYTES + MAX_ANSWER_BYTES + shares, "held " + held);
            assertTrue(all.stream().anyMatch(each -> !each.mPaused));
            assertEquals(all.stream().filter(each -> each.mPaused).count(), budget.paused());
        }
        all.forEach(Connection::end);
        assertEquals(0, budget.largeBytes());
        assertEquals(0, budget.paused());
    }

    private List<Connection> connections() {
        List<Connection> all = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            all.add(new Connection(mBudget));
        }
        return all;
    }
}
