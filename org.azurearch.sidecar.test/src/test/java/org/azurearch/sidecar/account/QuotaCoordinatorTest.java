package org.azurearch.sidecar.account;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against tokens for which no rate was delegated. */
class QuotaCoordinatorTest {
    private static final int NODES = 10;
    private static final int FIRST = 3;
    private static final double RATE = 145;
    private static final long START = 10_000;
    private static final long RENEW_MILLIS = 100;

    private final ClientAccount mAccount = new ClientAccount("a", List.of("k"), -1, RATE, RATE);
    private final QuotaCoordinator mCoordinator =
            new QuotaCoordinator("c", 1, QuotaSimulation.BOUND, START - QuotaRules.LEASE_MILLIS);
    private final long[] mEchoMillis = new long[NODES];
    private long mSequence;

    QuotaCoordinatorTest() {
        mCoordinator.update(new AccountDirectory(List.of(mAccount)), START);
    }

    @Test
    void accountThatNobodyUsedHasNoMoreThanTheDelegatedPartOfItsCapacity() {
        long now = START;
        for (; now < START + 6_000; now += RENEW_MILLIS) {
            for (int node = 0; node < FIRST; node++) {
                renew(node, 0, now);
            }
        }
        for (int node = 0; node < NODES; node++) {
            renew(node, 0, now);
            renew(node, 0, now);
        }
        double part = QuotaRules.DEAD_NODES * FIRST / NODES;
        double capacity = new QuotaRules(QuotaSimulation.BOUND).capacity(mAccount);
        double accrued = RATE * QuotaRules.LEASE_MILLIS / 1_000;
        int granted = renew(0, 1_000, now + 1);
        assertTrue(granted <= part * (capacity + accrued) + 1, "granted " + granted);
        assertTrue(granted > 1, "granted " + granted);
    }

    /** Renews the delegation of a node and returns the tokens that it is granted. */
    private int renew(int node, int needed, long nowMillis) {
        long sequence = ++mSequence;
        QuotaAsk ask =
                new QuotaAsk(
                        "n" + node,
                        1,
                        sequence,
                        sequence - 1,
                        nowMillis,
                        mEchoMillis[node] == 0 ? 0 : 1,
                        mEchoMillis[node],
                        mEchoMillis[node] == 0 ? 0 : NODES,
                        false,
                        needed == 0
                                ? List.of()
                                : List.of(new QuotaAsk.Entry("a", 0, needed, 0, 0, 0, 0)));
        QuotaReply reply = mCoordinator.receive(ask, nowMillis);
        mEchoMillis[node] = nowMillis;
        return reply == null || reply.grants().isEmpty() ? 0 : reply.grants().get(0).urgent();
    }
}
