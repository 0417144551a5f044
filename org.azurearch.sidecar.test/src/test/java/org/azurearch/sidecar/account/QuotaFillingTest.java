package org.azurearch.sidecar.account;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against buckets that begin empty and are taken for those of accounts at their limits. */
class QuotaFillingTest {
    private static final long START = 10_000;
    private static final int STEP_MILLIS = 5;

    private final ClientAccount mAccount = new ClientAccount("a", List.of("k"), -1, 400, 400);
    private final QuotaCoordinator mCoordinator =
            new QuotaCoordinator("c", 1, QuotaSimulation.BOUND, START - QuotaRules.LEASE_MILLIS);
    private long mSequence;

    QuotaFillingTest() {
        mCoordinator.update(new AccountDirectory(List.of(mAccount)), START);
    }

    @Test
    void accountBelowItsLimitIsServedFromTheFirstTokensOn() {
        ask(0, START);
        ask(0, START + STEP_MILLIS);
        QuotaReply.Grant grant = ask(1, START + 2 * STEP_MILLIS);
        assertEquals(1, grant.urgent());
        assertTrue(grant.waitMillis() <= STEP_MILLIS, "waits " + grant.waitMillis());
    }

    /** Demand far above the limit must cause few messages. */
    @Test
    void accountAtItsLimitIsExhaustedOnceTheBucketsCanHaveFilled() {
        int waitMillis = 0;
        for (int time = 0; time <= 2 * QuotaRules.LEASE_MILLIS; time += STEP_MILLIS) {
            waitMillis = ask(100, START + time).waitMillis();
        }
        assertTrue(waitMillis > 100, "waits " + waitMillis);
    }

    private QuotaReply.Grant ask(int needed, long nowMillis) {
        long sequence = ++mSequence;
        QuotaAsk ask =
                new QuotaAsk(
                        "n",
                        1,
                        sequence,
                        sequence - 1,
                        nowMillis,
                        sequence == 1 ? 0 : 1,
                        sequence == 1 ? 0 : nowMillis - STEP_MILLIS,
                        sequence == 1 ? 0 : 1,
                        false,
                        List.of(new QuotaAsk.Entry("a", 0, needed, 0, 0, 0, 0)));
        QuotaReply reply = mCoordinator.receive(ask, nowMillis);
        return reply == null ? new QuotaReply.Grant("a", 0, 0, 0) : reply.grants().get(0);
    }
}
