package org.azurearch.sidecar.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The retries of all nodes together stay within the shared limit in every window. */
class SharedRetryBudgetTest {
    private static final double RATIO = 0.2;
    private static final double RESERVE = 58;

    @Test
    void elevenNodesThatRetryAsOftenAsAllowedStayWithinLimit() {
        int nodes = 11;
        int requestsPerWindow = 100;
        int retries = 0;
        for (int node = 0; node < nodes; node++) {
            SharedRetryBudget budget = new SharedRetryBudget(RATIO, RESERVE);
            retries += countRetries(budget, nodes, requestsPerWindow, 1);
        }
        assertTrue(retries <= RATIO * nodes * requestsPerWindow + RESERVE, "retries " + retries);
    }

    @Test
    void pauseSavesNoMoreThanShareOfReserve() {
        SharedRetryBudget budget = new SharedRetryBudget(RATIO, RESERVE);
        budget.onRequest(11, 50);
        int taken = 0;
        while (budget.tryTake()) {
            taken++;
        }
        assertTrue(taken <= RESERVE / 11, "taken " + taken);
    }

    /** Guards against a reserve that each node takes for its own while it knows no other one. */
    @Test
    void nodeThatDoesNotKnowTheOthersHasNoShareOfReserve() {
        SharedRetryBudget budget = new SharedRetryBudget(RATIO, RESERVE);
        budget.tryTake();
        budget.onRequest(0, 1);
        assertFalse(budget.tryTake());
    }

    private static int countRetries(
            SharedRetryBudget budget, int nodes, int requests, int windows) {
        int taken = 0;
        for (int i = 0; i < requests * windows; i++) {
            budget.onRequest(nodes, 1.0 / requests);
            while (budget.tryTake()) {
                taken++;
            }
        }
        return taken;
    }

    /** Plays a window from the start of all nodes, with as many retries as the budgets allow. */
    @Test
    void firstWindowStaysWithinTheSharedLimit() {
        int nodes = 12;
        int requests = 100;
        int retries = 0;
        for (int node = 0; node < nodes; node++) {
            SharedRetryBudget budget = new SharedRetryBudget(0.2, 60);
            for (int i = 0; i < requests; i++) {
                budget.onRequest(nodes, i == 0 ? 0 : 1.0 / requests);
                while (budget.tryTake()) {
                    retries++;
                }
            }
        }
        assertTrue(retries <= 0.2 * requests * nodes + 60, "retries: " + retries);
    }

    @Test
    void lostRequestsAreSentOnceMoreFromTheStart() {
        SharedRetryBudget budget = new SharedRetryBudget(0.2, 500);
        int retries = 0;
        for (int i = 0; i < 10; i++) {
            budget.onRequest(8, 0);
            retries += budget.tryTake() ? 1 : 0;
        }
        assertEquals(10, retries);
    }
}
