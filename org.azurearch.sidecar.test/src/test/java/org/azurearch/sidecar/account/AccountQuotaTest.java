package org.azurearch.sidecar.account;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against requests below their limit that are told to come back only after seconds. */
class AccountQuotaTest {
    private static final String ACCOUNT = "a";
    private static final int HOLDERS = 100;
    private static final double RATE = 20;

    /** Longest delay for an account whose tokens take longer than that. */
    private static final long LONGEST_MILLIS = 5_000;

    private AccountQuota mQuota;

    @BeforeEach
    void start() {
        mQuota = new AccountQuota("n", 1, QuotaSimulation.BOUND, new SplittableRandom(1), 0);
        ClientAccount account = new ClientAccount(ACCOUNT, List.of("k"), -1, RATE, RATE);
        mQuota.update(new AccountDirectory(List.of(account)));
        mQuota.observeMembers("c", HOLDERS);
    }

    @Test
    void requestsRefusedAfterStartComeBackOnceAllNodesDelegate() {
        for (long now = 0; now < 2 * QuotaRules.LEASE_MILLIS; now += 100) {
            mQuota.poll(Map.of(), now);
            long retry = mQuota.retryAfterMillis(ACCOUNT, now);
            assertTrue(retry <= 2 * QuotaRules.LEASE_MILLIS, retry + " ms at " + now);
            assertTrue(now + retry >= QuotaRules.LEASE_MILLIS, retry + " ms at " + now);
        }
    }

    @Test
    void requestsRefusedAfterChangeOfCoordinatorsComeBackOnceAllNodesDelegate() {
        delegate(2_000);
        assertEquals(LONGEST_MILLIS, mQuota.retryAfterMillis(ACCOUNT, 20_000));
        mQuota.paused(20_000);
        long retry = mQuota.retryAfterMillis(ACCOUNT, 20_000);
        assertTrue(retry <= 2 * QuotaRules.LEASE_MILLIS, retry + " ms");
    }

    @Test
    void requestsRefusedByNodeOnItsOwnComeBackAtItsShare() {
        long now = 60_000;
        mQuota.poll(Map.of(), now);
        assertTrue(mQuota.usesBaseShare(now));
        assertEquals(LONGEST_MILLIS, mQuota.retryAfterMillis(ACCOUNT, now));
    }

    /** Delegates the node's share to a coordinator, which grants nothing. */
    private void delegate(long nowMillis) {
        for (int i = 0; i < 2; i++) {
            long now = nowMillis + i * QuotaRules.RENEW_MILLIS;
            QuotaAsk ask = mQuota.poll(Map.of(), now);
            assertTrue(
                    mQuota.receive(
                            new QuotaReply(
                                    "c",
                                    7,
                                    ask.sequence(),
                                    now,
                                    ask.sentMillis(),
                                    false,
                                    List.of()),
                            now));
        }
        assertTrue(!mQuota.usesBaseShare(nowMillis + QuotaRules.RENEW_MILLIS));
    }
}
