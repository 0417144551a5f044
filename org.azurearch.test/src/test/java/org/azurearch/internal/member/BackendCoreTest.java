package org.azurearch.internal.member;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import org.azurearch.errors.AzurearchException;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.NetAddress;
import org.azurearch.lib.ServiceId;
import org.azurearch.member.Announcement;
import org.azurearch.member.BackendState;
import org.junit.jupiter.api.Test;

class BackendCoreTest {
    private static final Duration LEASE = Duration.ofSeconds(10);

    private final BackendCore mCore = new BackendCore();
    private long mMillis;

    @Test
    void stateFollowsTheAnnouncement() {
        assertState(BackendState.ABSENT);
        mCore.announce(announcement(BackendState.STARTING, LEASE), now());
        assertState(BackendState.STARTING);
        mCore.announce(announcement(BackendState.READY, LEASE), now());
        assertState(BackendState.READY);
        mCore.announce(announcement(BackendState.DRAINING, LEASE), now());
        assertState(BackendState.DRAINING);
        mCore.withdraw();
        assertState(BackendState.ABSENT);
    }

    @Test
    void leaseExpiresUnlessRenewed() {
        ready();
        advance(9_900);
        assertState(BackendState.READY);
        ready();
        advance(9_900);
        assertState(BackendState.READY);
        advance(100);
        assertState(BackendState.ABSENT);
        ready();
        assertState(BackendState.READY);
    }

    @Test
    void drainOutlastsRenewalsAndEndsOnWithdrawal() {
        ready();
        mCore.drain();
        ready();
        assertState(BackendState.DRAINING);
        mCore.withdraw();
        ready();
        assertState(BackendState.READY);
    }

    @Test
    void failingProbesCountOnlyWhileCallsDoNotSucceed() {
        ready();
        mCore.recordCall(true, now());
        probes(false, 3);
        assertState(BackendState.READY);
        advance(2_000);
        assertState(BackendState.ABSENT);
        probes(true, 1);
        assertState(BackendState.READY);
    }

    @Test
    void failingCallsEjectTheServerThoughProbesSucceed() {
        ready();
        calls(false, 5);
        probes(true, 10);
        assertState(BackendState.ABSENT);
        advance(5_000);
        assertState(BackendState.READY);
        calls(false, 1);
        assertState(BackendState.ABSENT);
        advance(5_000);
        assertState(BackendState.ABSENT);
        advance(5_000);
        assertState(BackendState.READY);
        calls(true, 1);
        calls(false, 4);
        assertState(BackendState.READY);
    }

    @Test
    void valuesOutsideTheirRangeAreRefused() {
        assertRefused(announcement(BackendState.READY, Duration.ofMillis(99)));
        assertRefused(announcement(BackendState.READY, Duration.ofMinutes(6)));
        assertRefused(announcement(BackendState.ABSENT, LEASE));
    }

    private void ready() {
        mCore.announce(announcement(BackendState.READY, LEASE), now());
    }

    private void probes(boolean healthy, int count) {
        for (int i = 0; i < count; i++) {
            mCore.recordProbe(healthy);
        }
    }

    private void calls(boolean healthy, int count) {
        for (int i = 0; i < count; i++) {
            mCore.recordCall(healthy, now());
        }
    }

    private void advance(long millis) {
        mMillis += millis;
        Announcement held = mCore.announcement();
        if (held != null && millis < LEASE.toMillis() && millis == 5_000) {
            mCore.announce(held, now());
        }
        mCore.tick(now());
    }

    private Moment now() {
        return new Moment(mMillis, mMillis);
    }

    private void assertState(BackendState state) {
        assertEquals(state, mCore.state(now()));
    }

    private void assertRefused(Announcement announcement) {
        assertThrows(AzurearchException.class, () -> mCore.announce(announcement, now()));
    }

    private static Announcement announcement(BackendState state, Duration lease) {
        return new Announcement(
                FirmId.fromString("firm"),
                ServiceId.fromString("service"),
                new NetAddress("127.0.0.1", 80),
                state,
                20,
                lease);
    }
}
