package org.azurearch.sidecar.account;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntUnaryOperator;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against requests refused below the limit. The target is 0.95 of the allowance while demand
 * is steady and above it.
 */
class QuotaEfficiencyTest {
    private static final double TARGET = 0.95;
    private static final int WARM_UP_MILLIS = 4_000;
    private static final int MEASURED_MILLIS = 20_000;

    @ParameterizedTest
    @CsvSource({
        "80,5,0",
        "80,5,10",
        "80,440,0",
        "80,440,440",
        "300,5,5",
        "300,440,0",
        "300,440,440"
    })
    void servesTheAllowance(int nodes, double rate, double burst) {
        SplittableRandom random = new SplittableRandom(7);
        check("one node", nodes, rate, burst, true, time -> 3);
        check("all nodes", nodes, rate, burst, true, time -> random.nextInt(nodes));
        int third = nodes / 3;
        check(
                "moving between data centres",
                nodes,
                rate,
                burst,
                true,
                time -> (time / 1_000 % 3) * third + random.nextInt(third));
    }

    @ParameterizedTest
    @CsvSource({"80,5,10", "80,440,0", "80,440,440"})
    void servesTheAllowanceOfAnAccountWithoutUrgentRequests(int nodes, double rate, double burst) {
        SplittableRandom random = new SplittableRandom(7);
        check("one node", nodes, rate, burst, false, time -> 3);
        check("all nodes", nodes, rate, burst, false, time -> random.nextInt(nodes));
    }

    @ParameterizedTest
    @CsvSource({"18,145,145,true", "80,7,7,true", "80,440,440,true", "80,440,440,false"})
    void servesAnIdleAccountWithinItsBurst(int nodes, double rate, double burst, boolean urgent) {
        ClientAccount account = new ClientAccount("a", List.of("k"), -1, rate, burst);
        QuotaSimulation simulation = new QuotaSimulation(nodes, List.of(account), 11);
        SplittableRandom random = new SplittableRandom(17);
        for (int time = 0; time < WARM_UP_MILLIS; time++) {
            simulation.step();
        }
        int sent = 0;
        for (int time = 0; time < MEASURED_MILLIS; time++) {
            double due = rate / 1_000;
            for (; random.nextDouble() < due; due--) {
                sent++;
                simulation.request(random.nextInt(nodes), "a", urgent);
            }
            simulation.step();
        }
        assertTrue(
                simulation.refused() <= sent * (1 - TARGET),
                simulation.refused() + " refused of " + sent);
    }

    /** Urgent requests alone are below the limit of their account, all together far above it. */
    @ParameterizedTest
    @CsvSource({"18,145,145", "80,440,440", "80,7,7"})
    void urgentRequestsGetTheTokensOfAnAccountAboveItsLimit(int nodes, double rate, double burst) {
        ClientAccount account = new ClientAccount("a", List.of("k"), -1, rate, burst);
        QuotaSimulation simulation = new QuotaSimulation(nodes, List.of(account), 11);
        SplittableRandom random = new SplittableRandom(19);
        int urgentSent = 0;
        for (int time = 0; time < WARM_UP_MILLIS; time++) {
            simulation.step();
        }
        for (int time = 0; time < MEASURED_MILLIS; time++) {
            double due = 2.8 * rate / 1_000;
            for (; random.nextDouble() < due; due--) {
                boolean urgent = random.nextDouble() < 0.8 / 2.8;
                urgentSent += urgent ? 1 : 0;
                simulation.request(random.nextInt(nodes), "a", urgent);
            }
            simulation.step();
        }
        double urgentServed = simulation.urgentRan() / (double) urgentSent;
        double served = simulation.ran("a") / (rate * MEASURED_MILLIS / 1_000);
        System.out.printf("urgent served %.3f, of the allowance %.3f%n", urgentServed, served);
        assertTrue(urgentServed >= TARGET, "urgent served " + urgentServed);
        assertTrue(served >= TARGET, "served " + served);
    }

    private static void check(
            String where,
            int nodes,
            double rate,
            double burst,
            boolean urgent,
            IntUnaryOperator place) {
        ClientAccount account = new ClientAccount("a", List.of("k"), -1, rate, burst);
        QuotaSimulation simulation = new QuotaSimulation(nodes, List.of(account), 11);
        SplittableRandom random = new SplittableRandom(13);
        double demandPerMilli = 2 * rate / 1_000;
        int before = 0;
        long framesBefore = 0;
        for (int time = 0; time < WARM_UP_MILLIS + MEASURED_MILLIS; time++) {
            if (time == WARM_UP_MILLIS) {
                before = simulation.ran("a");
                framesBefore = simulation.frames();
            }
            double due = demandPerMilli;
            for (; random.nextDouble() < due; due--) {
                simulation.request(place.applyAsInt(time), "a", urgent);
            }
            simulation.step();
        }
        double served = (simulation.ran("a") - before) / (rate * MEASURED_MILLIS / 1_000);
        double frames = (simulation.frames() - framesBefore) * 1_000.0 / MEASURED_MILLIS / nodes;
        int most = simulation.mostInWindow("a");
        double limit = new QuotaRules(QuotaSimulation.BOUND).limit(account);
        System.out.printf(
                "%s: %d nodes, rate %.0f, burst %.0f: served %.3f, in a window %d of %.1f,"
                        + " frames per node and second %.2f%n",
                where, nodes, rate, burst, served, most, limit, frames);
        assertTrue(served >= TARGET, where + ": served " + served);
        assertTrue(most <= limit, where + ": in a window " + most);
    }
}
