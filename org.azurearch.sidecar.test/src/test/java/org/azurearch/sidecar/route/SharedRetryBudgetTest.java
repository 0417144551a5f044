package org.azurearch.sidecar.route;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Repeats of all nodes together stay inside the shared bound in every window. */
class SharedRetryBudgetTest {
    private static final double RATIO = 0.2;
    private static final double RESERVE = 58;

    @Test
    void elevenNodesThatRetryAllTheyCanStayInsideTheBound() {
        int nodes = 11;
        int requestsPerWindow = 100;
        int repeats = 0;
        for (int node = 0; node < nodes; node++) {
            SharedRetryBudget allowance = new SharedRetryBudget(RATIO, RESERVE);
            repeats += play(allowance, nodes, requestsPerWindow, 1);
        }
        assertTrue(repeats <= RATIO * nodes * requestsPerWindow + RESERVE, "repeats " + repeats);
    }

    @Test
    void onePauseSavesNoMoreThanItsShareOfTheReserve() {
        SharedRetryBudget allowance = new SharedRetryBudget(RATIO, RESERVE);
        allowance.onRequest(11, 50);
        int taken = 0;
        while (allowance.tryTake()) {
            taken++;
        }
        assertTrue(taken <= RESERVE / 11, "taken " + taken);
    }

    private static int play(SharedRetryBudget allowance, int nodes, int requests, int windows) {
        int taken = 0;
        for (int i = 0; i < requests * windows; i++) {
            allowance.onRequest(nodes, 1.0 / requests);
            while (allowance.tryTake()) {
                taken++;
            }
        }
        return taken;
    }
}
