package org.azurearch.sidecar.internal.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.azurearch.lib.NetAddress;
import org.azurearch.sidecar.member.BackendRecord;
import org.azurearch.sidecar.member.NodeRecord;
import org.azurearch.sidecar.member.NodeTable;
import org.azurearch.sidecar.rollout.ExposureBudget;
import org.azurearch.sidecar.rollout.RolloutOrder;
import org.azurearch.sidecar.rollout.RolloutState;
import org.azurearch.sidecar.rollout.Verdict;
import org.azurearch.sidecar.rollout.VersionRouter;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Reports of a coordinator that links have held up, at the node that would follow it. */
class LateReportTest {
    private static final String SERVICE = "boards";
    private static final long DURATION = 60_000;
    private static final long REPORT_MILLIS = 200;
    private static final long HELD_UP_MILLIS = 4_000;

    private final ServiceRollout mRollout =
            new ServiceRollout(
                    SERVICE,
                    "second",
                    1,
                    table(),
                    new ExposureBudget(0.1, 50),
                    new SplittableRandom(1),
                    0);
    private long mNow;

    @BeforeEach
    void followCoordinator() {
        mRollout.leadership().candidates(List.of("first", "second"));
        mRollout.order(new RolloutOrder(SERVICE, "v2", DURATION, 1), 0);
        for (mNow = REPORT_MILLIS; mNow < 2_000; mNow += REPORT_MILLIS) {
            report("first", 0);
        }
        assertTrue(usesTarget());
        assertFalse(leads());
    }

    /** Guards against a version that stays in use by what its coordinator said seconds ago. */
    @Test
    void reportThatWasHeldUpDoesNotRenewTheLease() {
        mNow += HELD_UP_MILLIS;
        assertFalse(usesTarget());
        report("first", HELD_UP_MILLIS - REPORT_MILLIS);
        assertFalse(usesTarget());
        report("first", 0);
        assertTrue(usesTarget());
    }

    /** Guards against a lease that each of many late reports prolongs by its whole length. */
    @Test
    void leaseCountsFromTheSendingOfTheReport() {
        mNow += ServiceRollout.LEASE_MILLIS - 1_000;
        report("first", 1_000);
        mNow += ServiceRollout.LEASE_MILLIS - 1_000;
        assertTrue(usesTarget());
        mNow += 1;
        assertFalse(usesTarget());
    }

    /** Guards against a successor that stops coordinating for one that may be gone. */
    @Test
    void reportThatWasHeldUpDoesNotTakeTheLeadBack() {
        mNow += HELD_UP_MILLIS;
        assertTrue(leads());
        report("first", HELD_UP_MILLIS - REPORT_MILLIS);
        assertTrue(leads());
        report("first", 0);
        assertFalse(leads());
    }

    /** Guards against a late report that takes back what a later one has renewed. */
    @Test
    void lateReportTakesNothingBack() {
        mNow += ServiceRollout.LEASE_MILLIS;
        report("first", 0);
        report("first", ServiceRollout.LEASE_MILLIS);
        mNow += Leadership.SILENCE_MILLIS - 1;
        assertFalse(leads());
        mNow += ServiceRollout.LEASE_MILLIS - Leadership.SILENCE_MILLIS + 1;
        assertTrue(usesTarget());
    }

    /** Guards against a roll-out that stands still as the coordinator's clock has stood still. */
    @Test
    void suspendedCoordinatorIsHeardAgainWithWhatItLearnsFromItsSuccessor() {
        mNow += HELD_UP_MILLIS;
        assertTrue(leads());
        ServiceRollout first =
                new ServiceRollout(
                        SERVICE,
                        "first",
                        1,
                        table(),
                        new ExposureBudget(0.1, 50),
                        new SplittableRandom(1),
                        mNow);
        first.leadership().candidates(List.of("first", "second"));
        first.merge(state(mNow - HELD_UP_MILLIS), mNow);
        first.reported(known(mRollout), "second", true, mNow);
        mRollout.reported(known(first), "first", true, mNow);
        assertFalse(leads());
        assertTrue(usesTarget());
    }

    /** Guards against late reports that are dropped with the news in them. */
    @Test
    void decisionThatWasHeldUpCounts() {
        mNow += HELD_UP_MILLIS;
        RolloutState halted = state(mNow - HELD_UP_MILLIS).withVerdict(Verdict.HALTED);
        assertTrue(mRollout.reported(halted, "first", true, mNow));
        assertEquals(Verdict.HALTED, known(mRollout).verdict());
    }

    /** Guards against a step of the time of day, by which a stored state seems older than it is. */
    @Test
    void stateReadFromTheStoreMakesNoReportLate() {
        mRollout.merge(state(mNow + HELD_UP_MILLIS), mNow);
        for (int i = 0; i < 20; i++) {
            mNow += REPORT_MILLIS;
            report("first", 0);
            assertFalse(leads(), "after report " + i);
        }
        mNow += ServiceRollout.LEASE_MILLIS;
        assertTrue(usesTarget());
    }

    /** Guards against two coordinators, as the time of a decided roll-out goes on no more. */
    @Test
    void coordinatorIsHeardBetweenDecisionAndNextOrder() {
        RolloutState decided = state(mNow).withVerdict(Verdict.ROLLED_BACK);
        mRollout.order(new RolloutOrder(SERVICE, "v3", DURATION, 2), mNow);
        for (int i = 0; i < 20; i++) {
            mRollout.reported(decided, "first", true, mNow);
            mNow += REPORT_MILLIS;
            assertFalse(leads(), "after report " + i);
        }
    }

    private void report(String coordinator, long heldUpMillis) {
        mRollout.reported(state(mNow - heldUpMillis), coordinator, true, mNow);
    }

    private RolloutState known(ServiceRollout rollout) {
        RolloutState state = rollout.state(mNow);
        assertTrue(state != null);
        return state;
    }

    private boolean leads() {
        return mRollout.leadership().leads(mNow);
    }

    /** Returns whether any of the next 100 requests would go to the target version. */
    private boolean usesTarget() {
        VersionRouter.Permit permit = mRollout.permit();
        boolean target = false;
        for (int i = 0; i < 100 && permit != null; i++) {
            target |= mRollout.choose(permit, "route", mNow).toTarget();
        }
        return target;
    }

    private static RolloutState state(long elapsedMillis) {
        return new RolloutState(
                SERVICE,
                1,
                "v2",
                "v1",
                Verdict.RUNNING,
                2,
                0.5,
                DURATION,
                elapsedMillis,
                Set.of(),
                Map.of(),
                Map.of());
    }

    private static NodeTable table() {
        NodeTable table = new NodeTable("second");
        for (String version : List.of("v1", "v2")) {
            long started = version.equals("v1") ? 1 : 2;
            BackendRecord backend =
                    new BackendRecord(SERVICE, version, 13, true, 0, -1, started, false, version);
            NetAddress address = new NetAddress("127.0.0.1", 1);
            table.merge(new NodeRecord(version, "a", address, 1, 1, false, true, backend), 0);
        }
        return table;
    }
}
