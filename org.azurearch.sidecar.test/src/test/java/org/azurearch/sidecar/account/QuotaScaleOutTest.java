package org.azurearch.sidecar.account;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against refusals of accounts below their limits while nodes are added. */
class QuotaScaleOutTest {
    private static final int ACCOUNTS = 82;
    private static final double TOTAL_PER_SECOND = 1_283;
    private static final double RATE_FACTOR = 1.6;
    private static final int SETTLE_MILLIS = 8_000;
    private static final int WINDOW_MILLIS = 5_000;
    private static final int WINDOWS = 3;
    private static final double TARGET = 0.95;

    @ParameterizedTest
    @CsvSource({"79,66,2200", "40,40,500"})
    void accountsBelowTheirLimitsAreServedWhileNodesAreAdded(int nodes, int added, int millis) {
        checkServed(nodes, added, 0, millis, nodes + added);
    }

    @ParameterizedTest
    @CsvSource({"79,66,4,2200", "79,4,4,200", "40,40,6,500"})
    void accountsBelowTheirLimitsAreServedByOtherNodesWhilePreferredCoordinatorsAreAdded(
            int nodes, int added, int preferred, int millis) {
        checkServed(nodes, added, preferred, millis, nodes);
    }

    @ParameterizedTest
    @CsvSource({"79,66,4,2200", "79,4,4,200", "40,40,6,500"})
    void accountsBelowTheirLimitsAreServedWhilePreferredCoordinatorsAreAdded(
            int nodes, int added, int preferred, int millis) {
        checkServed(nodes, added, preferred, millis, nodes + added);
    }

    private static void checkServed(int nodes, int added, int preferred, int millis, int entries) {
        for (long seed = 1; seed <= 3; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            List<ClientAccount> accounts = accounts();
            QuotaSimulation simulation = new QuotaSimulation(nodes, accounts, seed);
            simulation.trackMembers();
            play(simulation, accounts, entries, SETTLE_MILLIS, random);
            long refused = simulation.refused();
            int sent = add(simulation, accounts, entries, added, preferred, millis, random);
            sent += play(simulation, accounts, entries, WINDOW_MILLIS - millis, random);
            check(simulation.refused() - refused, sent, seed);
            for (int i = 1; i < WINDOWS; i++) {
                refused = simulation.refused();
                sent = play(simulation, accounts, entries, WINDOW_MILLIS, random);
                check(simulation.refused() - refused, sent, seed);
            }
        }
    }

    private static int add(
            QuotaSimulation simulation,
            List<ClientAccount> accounts,
            int entries,
            int added,
            int preferred,
            int millis,
            SplittableRandom random) {
        int sent = 0;
        for (int i = 0; i < added; i++) {
            simulation.add(i < preferred);
            sent += play(simulation, accounts, entries, millis / added, random);
        }
        return sent;
    }

    private static void check(long refused, int sent, long seed) {
        assertTrue(
                refused <= (1 - TARGET) * sent,
                "seed " + seed + ": " + refused + " of " + sent + " refused");
    }

    /** Sends the usual demand of all accounts to the first nodes; returns how many requests. */
    private static int play(
            QuotaSimulation simulation,
            List<ClientAccount> accounts,
            int entries,
            int millis,
            SplittableRandom random) {
        int sent = 0;
        for (int time = 0; time < millis; time++) {
            for (ClientAccount account : accounts) {
                if (random.nextDouble() < account.ratePerSecond() / RATE_FACTOR / 1_000) {
                    int node = random.nextInt(Math.min(entries, simulation.nodes()));
                    simulation.request(node, account.name());
                    sent++;
                }
            }
            simulation.step();
        }
        return sent;
    }

    /** A few accounts are large, as their usual demand falls with their place in the list. */
    private static List<ClientAccount> accounts() {
        double total = 0;
        for (int i = 1; i <= ACCOUNTS; i++) {
            total += 1 / (double) i;
        }
        List<ClientAccount> accounts = new ArrayList<>();
        for (int i = 1; i <= ACCOUNTS; i++) {
            double rate = RATE_FACTOR * TOTAL_PER_SECOND / i / total;
            accounts.add(new ClientAccount("a" + i, List.of("k" + i), -1, rate, rate));
        }
        return accounts;
    }
}
