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
    private static final List<Integer> PACKETS = List.of(1_460);
    private static final List<Integer> WHOLE_ANSWERS = List.of(LinkRankSimulation.WHOLE_ANSWERS);
    private static final List<Integer> WINDOWS =
            List.of(PACKETS.get(0), LinkRankSimulation.WHOLE_ANSWERS);

    private static final Kind SMALL = new Kind("small", 0, 60, 400, 392, 1_087, 6_269);
    private static final Kind LARGE_URGENT = new Kind("large", 0, 25, 20_000, 392, 1_087, 6_269);
    private static final Kind PATIENT = new Kind("patient", 1, 20, 400, 516, 3_100, 10_154);
    private static final Kind DOWNLOAD = new Kind("download", 2, 15, 90_000, 320, 1_372, 8_901);

    @Test
    void smallUrgentAnswersAreNotRefusedForDownloadsThatFillTheLink() {
        forAll(
                WINDOWS,
                List.of(SMALL, DOWNLOAD),
                (outcomes, seen) -> assertEquals(0, outcomes.get(0).refused(), seen));
    }

    @Test
    void urgentKindsAreServedNoSmallerShareThanLessUrgentOnes() {
        for (List<Kind> kinds :
                List.of(
                        List.of(SMALL, DOWNLOAD),
                        List.of(LARGE_URGENT, DOWNLOAD),
                        List.of(SMALL, PATIENT, DOWNLOAD))) {
            forAll(
                    WINDOWS,
                    kinds,
                    (outcomes, seen) -> {
                        for (int i = 1; i < outcomes.size(); i++) {
                            double urgent = outcomes.get(i - 1).servedShare();
                            double other = outcomes.get(i).servedShare();
                            assertTrue(urgent >= other - MAX_DIFFERENCE, seen);
                        }
                    });
        }
    }

    @Test
    void admittedDownloadsComeInTimeBesideUrgentAnswers() {
        assertDownloadsServed(WINDOWS, SMALL, (admitted, ofCarried) -> admitted);
        assertDownloadsServed(WHOLE_ANSWERS, LARGE_URGENT, (admitted, ofCarried) -> admitted);
    }

    @Test
    void downloadsGetWhatUrgentAnswersLeaveOfTheLink() {
        assertDownloadsServed(WINDOWS, SMALL, (admitted, ofCarried) -> ofCarried);
        assertDownloadsServed(WHOLE_ANSWERS, LARGE_URGENT, (admitted, ofCarried) -> ofCarried);
    }

    @Tag("known-red")
    @Test
    void admittedDownloadsComeInTimeWhereConnectionsShareTheLink() {
        assertDownloadsServed(PACKETS, LARGE_URGENT, (admitted, ofCarried) -> admitted);
    }

    @Tag("known-red")
    @Test
    void downloadsGetWhatIsLeftWhereConnectionsShareTheLink() {
        assertDownloadsServed(PACKETS, LARGE_URGENT, (admitted, ofCarried) -> ofCarried);
    }

    @Tag("known-red")
    @Test
    void admittedDownloadsAloneComeInTimeWhereConnectionsShareTheLink() {
        forAll(
                PACKETS,
                List.of(DOWNLOAD),
                (outcomes, seen) ->
                        assertTrue(outcomes.get(0).inTimeOfAdmitted() >= 1 - MAX_DIFFERENCE, seen));
    }

    private interface Served {
        /** Selects one of two fractions of what it should be at least. */
        double of(double inTimeOfAdmitted, double inTimeOfCarried);
    }

    private static void assertDownloadsServed(List<Integer> windows, Kind urgent, Served served) {
        forAll(
                windows,
                List.of(urgent, DOWNLOAD),
                (outcomes, seen) -> {
                    Outcome downloads = outcomes.get(1);
                    double leftSeconds = SECONDS - urgent.linkSeconds(outcomes.get(0).arrived());
                    double carried =
                            Math.min(downloads.arrived(), leftSeconds / DOWNLOAD.linkSeconds(1));
                    double fraction =
                            served.of(downloads.inTimeOfAdmitted(), downloads.inTime() / carried);
                    assertTrue(fraction >= 1 - MAX_DIFFERENCE, fraction + " at " + seen);
                });
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
