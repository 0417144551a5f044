package org.azurearch.sidecar.admit;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class AnswerMemoryTest {
    private final AnswerMemory mMemory = new AnswerMemory(1_000);

    @Test
    void answersAwaitedAndHeldShareTheLimit() {
        assertTrue(mMemory.tryReserve(400, 0));
        assertTrue(mMemory.tryReserve(400, 200));
        assertFalse(mMemory.tryReserve(1, 200));
        mMemory.release(400);
        assertTrue(mMemory.tryReserve(300, 200));
        assertFalse(mMemory.tryReserve(400, 200));
    }

    @Test
    void singleAnswerOverTheLimitIsAllowed() {
        assertTrue(mMemory.tryReserve(5_000, 0));
        assertFalse(mMemory.tryReserve(1, 0));
        mMemory.release(5_000);
        assertTrue(mMemory.tryReserve(1, 0));
    }
}
