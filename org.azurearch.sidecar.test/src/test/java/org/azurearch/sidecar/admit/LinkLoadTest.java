package org.azurearch.sidecar.admit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Admission of downloads by the bytes that a VM's link carries. Guards against running requests
 * whose answers the link cannot send before their callers give up.
 */
class LinkLoadTest {
    private static final long MILLI = 1_000_000L;
    private static final long SECONDS = 40;
    private static final long SEEDS = 8;

    @Test
    void answersQueueInTheOrderInWhichTheyAreReady() {
        LinkLoad link = new LinkLoad(8);
        assertEquals(100, link.sendMillis(100_000), 1e-9);
        link.sent("r", 0, 100_000, 0);
        assertEquals(100, link.queuedMillis(0), 1e-3);
        assertEquals(40, link.queuedMillis(60 * MILLI), 1e-3);
        LinkLoad.Awaited early = link.await(answer(100, 50, 500, 500), true);
        link.await(answer(100, 400, 500, 500), true);
        assertEquals(100, link.waitMillis(100 * MILLI, 0), 1e-3, "100 sent and 100 awaited");
        assertEquals(0, link.waitMillis(300 * MILLI, 0), 1e-3, "the later one does not precede");
        assertEquals(100, link.waitMillis(400 * MILLI, 0), 1e-3);
        link.release(early);
        assertEquals(0, link.waitMillis(100 * MILLI, 0), 1e-3);
    }

    @Test
    void wideLinkIsNotConsidered() {
        LinkLoad link = new LinkLoad(1_000);
        for (int i = 0; i < 1_000; i++) {
            link.sent("r", 0, 1_000_000, 0);
        }
        assertFalse(link.limited());
        assertEquals(0, link.waitMillis(0, 0));
        assertEquals(0, link.answerMillis("r"));
        assertTrue(link.admits(answer(link.answerMillis("r"), 1, 2, 3), 0));
    }

    @Test
    void answerThatFindsTheLinkFreeIsAlwaysSent() {
        LinkLoad link = new LinkLoad(8);
        assertTrue(link.admits(answer(100, 150, 200, 300), 0));
    }

    @Test
    void wideLinksDecideAsIfThereWereNoLimit() {
        for (long seed = 1; seed <= 4; seed++) {
            DownloadSimulation without = new DownloadSimulation(seed, Double.POSITIVE_INFINITY);
            DownloadSimulation wide = new DownloadSimulation(seed, 1_000);
            without.run(10);
            wide.run(10);
            assertEquals(without.inTime(), wide.inTime());
            assertEquals(without.late(), wide.late());
            assertEquals(without.refused(), wide.refused());
        }
    }

    @Test
    void downloadsBeyondTheLinksAreRefusedAtOnceAndTheOthersComeInTime() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            DownloadSimulation without = simulate(seed, Double.POSITIVE_INFINITY);
            DownloadSimulation with = simulate(seed, DownloadSimulation.LINK_MBPS);
            String seen = "seed " + seed + " without: " + text(without) + "; with: " + text(with);
            assertEquals(0, with.acceptedUnanswered(), seen);
            assertEquals(0, with.wronglyRefused(), seen);
            assertTrue(with.inTime() >= 0.95 * carried(with), seen);
            assertTrue(with.inTime() > 2 * without.inTime(), seen);
        }
    }

    @Tag("known-red")
    @Test
    void noDownloadIsRefusedThatAnUntriedServerCouldAnswerInTime() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            DownloadSimulation with = simulate(seed, DownloadSimulation.LINK_MBPS);
            assertEquals(0, with.answerableElsewhere(), "seed " + seed + " " + text(with));
        }
    }

    private static LinkLoad.Answer answer(
            double millis, long readyMillis, long targetMillis, long deadlineMillis) {
        return new LinkLoad.Answer(
                0, millis, readyMillis * MILLI, targetMillis * MILLI, deadlineMillis * MILLI);
    }

    private static DownloadSimulation simulate(long seed, double decidedMbps) {
        DownloadSimulation simulation = new DownloadSimulation(seed, decidedMbps);
        simulation.run(SECONDS);
        return simulation;
    }

    /** Returns how many of the downloads that arrived the links can carry. */
    private static double carried(DownloadSimulation simulation) {
        double demandMbps =
                DownloadSimulation.PER_SECOND * DownloadSimulation.ANSWER_BYTES * 8 / 1e6;
        double narrow = DownloadSimulation.SERVERS / (double) DownloadSimulation.NODES;
        double capacityMbps = DownloadSimulation.SERVERS * DownloadSimulation.LINK_MBPS;
        return simulation.arrived() * Math.min(1, capacityMbps / (demandMbps * (1 + narrow)));
    }

    private static String text(DownloadSimulation simulation) {
        return simulation.arrived()
                + " arrived, "
                + simulation.inTime()
                + " in time, "
                + simulation.late()
                + " late, "
                + simulation.refused()
                + " refused, "
                + simulation.acceptedUnanswered()
                + " accepted but unanswered, "
                + simulation.wronglyRefused()
                + " wrongly refused, "
                + simulation.answerableElsewhere()
                + " answerable elsewhere";
    }
}
