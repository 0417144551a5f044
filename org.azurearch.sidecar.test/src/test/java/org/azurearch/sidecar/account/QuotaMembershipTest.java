package org.azurearch.sidecar.account;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against quotas exceeded while the nodes that divide them start, leave, are killed, freeze
 * or are cut off, each with a view of its own of the others, and while a limit is lowered; and
 * against rates that are not served in full afterwards.
 */
class QuotaMembershipTest {
    private static final int SETTLE_MILLIS = 8_000;
    private static final int TROUBLE_MILLIS = 40_000;

    /** A leaving node counts for the grace period, and its next run waits for a lease. */
    private static final int RECOVER_MILLIS = 12_000;

    private static final int CALM_MILLIS = 10_000;

    /** Time after which a lower limit is in force at all nodes, and a window begins. */
    private static final int LOWERED_MILLIS = 2_500 + 5_000;

    private static final int ROUNDS = 4;
    private static final int ROUND_MILLIS = 14_000;

    private static final double TARGET = 0.95;

    /** What happens to half of the nodes at a time. */
    private enum Trouble {
        HALF_LEAVES,
        KILL,
        FREEZE,
        CUT
    }

    private static final ClientAccount HOT = account("hot", 200, 50);
    private static final ClientAccount AMPLE = account("ample", 440, 600);
    private static final ClientAccount LOWERED = account("ample", 40, 0);

    @ParameterizedTest
    @CsvSource({"4,3500,4300", "4,2000,5700", "6,2000,5700", "6,3500,3000", "40,1000,5700"})
    void quotaHoldsWhileNodesAreStoppedInTurn(int nodes, int gapMillis, int runMillis) {
        for (long seed = 1; seed <= 4; seed++) {
            QuotaSimulation simulation = simulation(nodes, List.of(HOT), seed);
            SplittableRandom random = new SplittableRandom(seed);
            load(simulation, HOT, 5, SETTLE_MILLIS, random);
            for (int time = 0; time < TROUBLE_MILLIS; time += gapMillis) {
                simulation.stop(time / gapMillis % nodes, runMillis, 200);
                load(simulation, HOT, 5, gapMillis, random);
            }
            check(simulation, HOT, seed);
            checkServedInCalm(simulation, random, seed);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "4,HALF_LEAVES",
        "6,HALF_LEAVES",
        "4,KILL",
        "6,KILL",
        "4,FREEZE",
        "6,FREEZE",
        "4,CUT",
        "6,CUT"
    })
    void quotaHoldsInOneKindOfTrouble(int nodes, Trouble trouble) {
        for (long seed = 51; seed <= 54; seed++) {
            QuotaSimulation simulation = simulation(nodes, List.of(HOT), seed);
            SplittableRandom random = new SplittableRandom(seed);
            load(simulation, HOT, 5, SETTLE_MILLIS, random);
            for (int round = 0; round < ROUNDS; round++) {
                begin(trouble, simulation, round);
                load(simulation, HOT, 5, ROUND_MILLIS / 2, random);
                heal(simulation);
                load(simulation, HOT, 5, ROUND_MILLIS / 2, random);
            }
            check(simulation, HOT, seed);
            checkServedInCalm(simulation, random, seed);
        }
    }

    private static void begin(Trouble trouble, QuotaSimulation simulation, int round) {
        int nodes = simulation.nodes();
        for (int i = 0; i < nodes / 2; i++) {
            int node = (round + i) % nodes;
            switch (trouble) {
                case HALF_LEAVES -> simulation.stop(node, 5_700, 200);
                case KILL -> simulation.kill(node);
                case FREEZE -> simulation.freeze(node, ROUND_MILLIS / 2);
                default -> simulation.cut(node, 1);
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"3,30", "4,30", "6,30", "40,13"})
    void quotaHoldsInAnyTroubleWithMembers(int nodes, long lastSeed) {
        for (long seed = 11; seed <= lastSeed; seed++) {
            QuotaSimulation simulation = simulation(nodes, List.of(HOT), seed);
            SplittableRandom random = new SplittableRandom(seed);
            load(simulation, HOT, 5, SETTLE_MILLIS, random);
            for (int time = 0; time < TROUBLE_MILLIS; time += 400) {
                trouble(simulation, random);
                load(simulation, HOT, random.nextInt(3) == 0 ? 0.5 : 5, 400, random);
            }
            heal(simulation);
            check(simulation, HOT, seed);
            checkServedInCalm(simulation, random, seed);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 40})
    void lowerLimitBindsWhateverNodesHold(int nodes) {
        for (long seed = 41; seed <= 46; seed++) {
            QuotaSimulation simulation = simulation(nodes, List.of(AMPLE), seed);
            SplittableRandom random = new SplittableRandom(seed);
            load(simulation, AMPLE, 0.9, SETTLE_MILLIS, random);
            simulation.update(List.of(LOWERED));
            load(simulation, AMPLE, 0.9, LOWERED_MILLIS, random);
            int before = simulation.ran(AMPLE.name());
            load(simulation, AMPLE, 5, 5_000, random);
            int ran = simulation.ran(AMPLE.name()) - before;
            double limit = new QuotaRules(QuotaSimulation.BOUND).limit(LOWERED);
            assertTrue(ran <= limit, "seed " + seed + ": " + ran + " of " + limit);
        }
    }

    private static QuotaSimulation simulation(int nodes, List<ClientAccount> accounts, long seed) {
        QuotaSimulation simulation = new QuotaSimulation(nodes, accounts, seed);
        simulation.trackMembers();
        return simulation;
    }

    /** Sends a multiple of the rate of an account for some time, at all nodes. */
    private static void load(
            QuotaSimulation simulation,
            ClientAccount account,
            double times,
            int millis,
            SplittableRandom random) {
        for (int i = 0; i < millis; i++) {
            double due = times * account.ratePerSecond() / 1_000;
            for (; random.nextDouble() < due; due--) {
                simulation.request(random.nextInt(simulation.nodes()), account.name());
            }
            simulation.step();
        }
    }

    private static void trouble(QuotaSimulation simulation, SplittableRandom random) {
        int node = random.nextInt(simulation.nodes());
        switch (random.nextInt(12)) {
            case 0, 1, 2 ->
                    simulation.stop(
                            node,
                            2_500 + random.nextInt((int) NodeMembers.GRACE_MILLIS - 2_500),
                            random.nextInt(3_000));
            case 3 -> simulation.kill(node);
            case 4 -> simulation.restart(node);
            case 5 -> simulation.freeze(node, 100 + random.nextInt(4_000));
            case 6 -> simulation.cut(node, random.nextInt(3));
            case 7 -> simulation.faults(0.2, 0.2, 1 + random.nextInt(400));
            case 8 -> simulation.freezeCoordinator(HOT.name(), 100 + random.nextInt(4_000));
            case 9 -> restartAll(simulation, random.nextInt(4) == 0);
            default -> heal(simulation);
        }
    }

    private static void restartAll(QuotaSimulation simulation, boolean all) {
        for (int node = 0; all && node < simulation.nodes(); node++) {
            simulation.restart(node);
        }
    }

    /** Ends faults of the network, and starts the nodes that were killed. */
    private static void heal(QuotaSimulation simulation) {
        simulation.faults(0, 0, 2);
        for (int node = 0; node < simulation.nodes(); node++) {
            simulation.cut(node, 0);
            if (!simulation.up(node)) {
                simulation.restart(node);
            }
        }
    }

    private static void check(QuotaSimulation simulation, ClientAccount account, long seed) {
        int most = simulation.mostInWindow(account.name());
        double limit = new QuotaRules(QuotaSimulation.BOUND).limit(account);
        assertTrue(most <= limit, "seed " + seed + ": " + most + " of " + limit);
    }

    private static void checkServedInCalm(
            QuotaSimulation simulation, SplittableRandom random, long seed) {
        load(simulation, HOT, 5, RECOVER_MILLIS, random);
        int before = simulation.ran(HOT.name());
        load(simulation, HOT, 5, CALM_MILLIS, random);
        double served = simulation.ran(HOT.name()) - before;
        double allowed = HOT.ratePerSecond() * CALM_MILLIS / 1_000;
        assertTrue(served >= TARGET * allowed, "seed " + seed + ": " + served + " of " + allowed);
        check(simulation, HOT, seed);
    }

    private static ClientAccount account(String name, double rate, double burst) {
        return new ClientAccount(name, List.of("key-" + name), -1, rate, burst);
    }
}
