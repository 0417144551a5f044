package org.azurearch.sidecar.admit;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.azurearch.sidecar.admit.LinkRankSimulation.Kind;
import org.azurearch.sidecar.admit.LinkRankSimulation.Outcome;
import org.azurearch.sidecar.admit.LinkRankSimulation.Site;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;

/** Ranks on a link that cannot carry all answers. */
class LinkRankTest {
    private static final long SECONDS = 40;
    private static final long SEEDS = 8;
    private static final double MAX_DIFFERENCE = 0.05;
    private static final int PACKET_BYTES = 1_460;
    private static final List<Integer> WINDOWS =
            List.of(PACKET_BYTES, LinkRankSimulation.WHOLE_ANSWERS);

    private static final Kind SMALL = new Kind("small", 0, 60, 400, 392, 1_087, 6_269);
    private static final Kind LARGE_URGENT = new Kind("large", 0, 25, 20_000, 392, 1_087, 6_269);
    private static final Kind DOWNLOAD = new Kind("download", 1, 15, 90_000, 320, 1_372, 8_901);

    @Test
    void smallUrgentAnswersAreNotRefusedForDownloadsThatFillTheLink() {
        forAll(
                WINDOWS,
                List.of(SMALL, DOWNLOAD),
                (outcomes, seen) -> assertEquals(0, outcomes.get(0).refused(), seen));
    }

    @Test
    void urgentKindsAreServedNoSmallerShareThanDownloads() {
        for (Kind urgent : List.of(SMALL, LARGE_URGENT)) {
            forAll(
                    WINDOWS,
                    List.of(urgent, DOWNLOAD),
                    (outcomes, seen) ->
                            assertTrue(
                                    outcomes.get(0).servedShare()
                                            >= outcomes.get(1).servedShare() - MAX_DIFFERENCE,
                                    seen));
        }
    }

    @Test
    void admittedDownloadsComeInTimeBesideUrgentAnswers() {
        forDownloads(LinkRankSimulation.WHOLE_ANSWERS, (admitted, share) -> admitted);
    }

    @Test
    void downloadsGetWhatUrgentAnswersLeaveOfTheLink() {
        forDownloads(LinkRankSimulation.WHOLE_ANSWERS, (admitted, share) -> share);
    }

    @Tag("known-red")
    @Test
    void admittedDownloadsComeInTimeWhereConnectionsShareTheLink() {
        forDownloads(PACKET_BYTES, (admitted, share) -> admitted);
    }

    @Tag("known-red")
    @Test
    void downloadsGetWhatIsLeftWhereConnectionsShareTheLink() {
        forDownloads(PACKET_BYTES, (admitted, share) -> share);
    }

    private interface Served {
        /** Selects one of two fractions of what it should be at least. */
        double of(double inTimeOfAdmitted, double shareOfWhatIsLeft);
    }

    private static void forDownloads(int window, Served served) {
        for (Kind urgent : List.of(SMALL, LARGE_URGENT)) {
            double left = Math.min(1, (1 - urgent.linkLoad()) / DOWNLOAD.linkLoad());
            forAll(
                    List.of(window),
                    List.of(urgent, DOWNLOAD),
                    (outcomes, seen) -> {
                        Outcome downloads = outcomes.get(1);
                        double fraction =
                                served.of(
                                        downloads.inTimeOfAdmitted(),
                                        downloads.servedShare() / left);
                        assertTrue(fraction >= 1 - MAX_DIFFERENCE, fraction + " at " + seen);
                    });
        }
    }

    private interface Check {
        void run(List<Outcome> outcomes, String seen);
    }

    private static void forAll(List<Integer> windows, List<Kind> kinds, Check check) {
        List<Executable> checks = new ArrayList<>();
        for (Site site : Site.values()) {
            for (int window : windows) {
                for (long seed = 1; seed <= SEEDS; seed++) {
                    List<Outcome> outcomes =
                            new LinkRankSimulation(seed, site, window, kinds).run(SECONDS);
                    String seen = site + ", window " + window + ", seed " + seed + ": " + outcomes;
                    checks.add(() -> check.run(outcomes, seen));
                }
            }
        }
        assertAll(checks);
    }
}
