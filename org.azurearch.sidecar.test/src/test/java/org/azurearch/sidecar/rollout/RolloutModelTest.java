package org.azurearch.sidecar.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.Stream;
import org.azurearch.sidecar.rollout.RolloutModel.Kind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Whole roll-outs on a manual clock, against the bounds of the design page. */
class RolloutModelTest {
    private static final int SEEDS = 10;

    /** Servers, nodes and requests a second of the deployments, with small and large services. */
    static Stream<Arguments> sizes() {
        return Stream.of(
                Arguments.of(4, 3, 20.0),
                Arguments.of(4, 95, 20.0),
                Arguments.of(4, 67, 80.0),
                Arguments.of(45, 95, 2_000.0),
                Arguments.of(20, 3, 300.0));
    }

    /** Guards against a good version that is rolled back, or not completed in time. */
    @ParameterizedTest
    @MethodSource("sizes")
    void goodVersionIsCompletedInTime(int servers, int nodes, double perSecond) {
        for (int seed = 0; seed < SEEDS; seed++) {
            assertCompleted(new RolloutModel(seed, Kind.GOOD, servers, nodes, perSecond).run());
        }
    }

    /** Guards against a bad version that gets too many requests, for too long, or is completed. */
    @ParameterizedTest
    @MethodSource("sizes")
    void badVersionIsRolledBackInBounds(int servers, int nodes, double perSecond) {
        for (Kind kind : Kind.values()) {
            for (int seed = 0; seed < SEEDS && kind != Kind.GOOD; seed++) {
                assertRolledBack(new RolloutModel(seed, kind, servers, nodes, perSecond).run());
            }
        }
    }

    /** Guards against a version that is rolled back without a line that says by which evidence. */
    @ParameterizedTest
    @CsvSource({"FAILS, failures", "SLOW, slow"})
    void haltNamesItsEvidence(Kind kind, String evidence) {
        String cause = new RolloutModel(1, kind, 16, 20, 400).run().haltCause();
        assertTrue(cause.startsWith("bad evidence=" + evidence + " route="), cause);
        assertTrue(cause.matches(".* bad_servers=[1-9][0-9]*/[1-9][0-9]*"), cause);
    }

    /** Guards against counts that are wrong after lost, repeated or reordered messages. */
    @Test
    void lostAndRepeatedMessagesChangeNothing() {
        for (int seed = 0; seed < SEEDS; seed++) {
            assertCompleted(new RolloutModel(seed, Kind.GOOD, 16, 20, 400).losing(0.3).run());
            assertRolledBack(new RolloutModel(seed, Kind.FAILS, 16, 20, 400).losing(0.3).run());
            assertRolledBack(new RolloutModel(seed, Kind.SLOW, 16, 20, 400).losing(0.3).run());
        }
    }

    /** Guards against a roll-out that stays undecided when its coordinator is killed. */
    @Test
    void nextCoordinatorTakesOver() {
        for (int seed = 0; seed < SEEDS; seed++) {
            for (long death : new long[] {300, 1_500, 4_000, 7_000, 8_500}) {
                assertCompleted(
                        new RolloutModel(seed, Kind.GOOD, 16, 20, 400)
                                .coordinatorDiesAt(death)
                                .run());
                assertRolledBack(
                        new RolloutModel(seed, Kind.FAILS_LATER, 16, 20, 400)
                                .coordinatorDiesAt(death)
                                .run());
            }
        }
    }

    /** Guards against two coordinators that step twice as fast or contradict each other. */
    @Test
    void twoCoordinatorsAreHarmless() {
        for (int seed = 0; seed < SEEDS; seed++) {
            assertCompleted(
                    new RolloutModel(seed, Kind.GOOD, 16, 20, 400).withTwoCoordinators().run());
            assertRolledBack(
                    new RolloutModel(seed, Kind.SLOW, 16, 20, 400).withTwoCoordinators().run());
        }
    }

    /** Guards against a share that rises during an outage, and a stop that waits for the store. */
    @Test
    void storeOutageDelaysStepsButNotStopping() {
        for (int seed = 0; seed < SEEDS; seed++) {
            assertCompleted(
                    new RolloutModel(seed, Kind.GOOD, 16, 20, 400)
                            .storeDown(now -> now > 2_000 && now < 5_000)
                            .run());
            RolloutModel bad =
                    new RolloutModel(seed, Kind.FAILS, 16, 20, 400)
                            .storeDown(now -> now > 1_000)
                            .run();
            assertWithinBounds(bad);
        }
    }

    private static void assertCompleted(RolloutModel model) {
        assertEquals(Verdict.COMPLETED, model.verdict(), model.toString());
        assertTrue(model.decidedAt() < RolloutModel.DURATION, model.toString());
    }

    private static void assertRolledBack(RolloutModel model) {
        assertEquals(Verdict.ROLLED_BACK, model.verdict(), model.toString());
        assertWithinBounds(model);
    }

    private static void assertWithinBounds(RolloutModel model) {
        assertTrue(model.exposed() <= model.allowedExposure(), model.toString());
        assertTrue(model.sentAfterFiftiethBad() <= RolloutModel.ROLLBACK_MILLIS, model.toString());
    }
}
