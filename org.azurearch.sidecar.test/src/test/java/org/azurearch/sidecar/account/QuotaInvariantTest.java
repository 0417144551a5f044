package org.azurearch.sidecar.account;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against quotas exceeded while messages are lost, late, repeated or reordered, and nodes
 * are killed, restarted, frozen or cut off, with both sides of a cut active. The bound is that of
 * the settings: (rate x window + burst) x (1 + over) + slack.
 */
class QuotaInvariantTest {
    private static final int MILLIS = 40_000;

    /** Demand at a moment: how many requests a millisecond, and at how many nodes. */
    private record Demand(double perMilli, int nodes) {}

    private static final ClientAccount[] ACCOUNTS = {
        account("small", 5, 0),
        account("bursty", 5, 40),
        account("large", 440, 0),
        account("ample", 440, 600),
        account("middle", 40, 20)
    };

    @ParameterizedTest
    @ValueSource(ints = {3, 12, 40, 80})
    void everyWindowKeepsToTheQuota(int nodes) {
        for (long seed = 1; seed <= 12; seed++) {
            run(nodes, seed, 0);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {40, 80})
    void everyWindowKeepsToTheQuotaWithRequestsThatGiveTheirTokenBack(int nodes) {
        for (long seed = 101; seed <= 106; seed++) {
            run(nodes, seed, 0.5);
        }
    }

    private static void run(int nodes, long seed, double refunds) {
        SplittableRandom random = new SplittableRandom(seed);
        QuotaSimulation simulation = new QuotaSimulation(nodes, List.of(ACCOUNTS), seed);
        simulation.refunds(refunds);
        simulation.missingMembers(nodes / 40);
        Demand demand = new Demand(1, nodes);
        SplittableRandom ranks = new SplittableRandom(seed + 1_000);
        for (int time = 0; time < MILLIS; time++) {
            if (random.nextInt(700) == 0) {
                fault(simulation, random, nodes);
            }
            if (random.nextInt(900) == 0) {
                demand = demand(random, nodes);
            }
            for (ClientAccount account : ACCOUNTS) {
                double due = account.ratePerSecond() / 1_000 * demand.perMilli();
                for (; random.nextDouble() < due; due--) {
                    simulation.request(
                            random.nextInt(demand.nodes()), account.name(), ranks.nextBoolean());
                }
            }
            simulation.step();
        }
        for (ClientAccount account : ACCOUNTS) {
            int most = simulation.mostInWindow(account.name());
            double limit = new QuotaRules(QuotaSimulation.BOUND).limit(account);
            assertTrue(
                    most <= limit,
                    account.name() + ", seed " + seed + ": " + most + " of " + limit);
            assertTrue(simulation.ran(account.name()) > 0, account.name() + " never ran");
        }
    }

    /** Silence lets tokens collect, which a surge at all nodes then spends at once. */
    private static Demand demand(SplittableRandom random, int nodes) {
        return switch (random.nextInt(5)) {
            case 0 -> new Demand(0, nodes);
            case 1 -> new Demand(0.6, nodes);
            case 2 -> new Demand(3, 1);
            case 3 -> new Demand(12, nodes);
            default -> new Demand(5, Math.max(1, nodes / 3));
        };
    }

    private static void fault(QuotaSimulation simulation, SplittableRandom random, int nodes) {
        switch (random.nextInt(10)) {
            case 0 -> simulation.kill(random.nextInt(nodes));
            case 1 -> simulation.restart(random.nextInt(nodes));
            case 2 -> simulation.freeze(random.nextInt(nodes), 100 + random.nextInt(4_000));
            case 3 ->
                    simulation.freezeCoordinator(
                            ACCOUNTS[random.nextInt(ACCOUNTS.length)].name(),
                            100 + random.nextInt(4_000));
            case 4 -> {
                for (int node = 0; node < nodes; node++) {
                    simulation.cut(node, node % 3 == 0 ? 1 : 0);
                }
            }
            case 5 -> simulation.cut(random.nextInt(nodes), 2 + random.nextInt(nodes));
            case 6 -> simulation.faults(0.3, 0.3, 1 + random.nextInt(2_500));
            case 7 -> {
                for (int node = 0; node < nodes; node++) {
                    simulation.restart(node);
                }
            }
            default -> {
                simulation.faults(0, 0, 2);
                for (int node = 0; node < nodes; node++) {
                    simulation.cut(node, 0);
                }
            }
        }
    }

    private static ClientAccount account(String name, double rate, double burst) {
        return new ClientAccount(name, List.of("key-" + name), -1, rate, burst);
    }
}
