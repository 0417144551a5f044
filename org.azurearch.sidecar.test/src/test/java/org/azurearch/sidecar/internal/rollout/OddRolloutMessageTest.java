package org.azurearch.sidecar.internal.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.sidecar.rollout.RolloutState;
import org.azurearch.sidecar.rollout.Verdict;
import org.azurearch.thrift.WireRolloutState;
import org.junit.jupiter.api.Test;

/** Guards against the state of a newer peer that ends the connection on which it comes. */
class OddRolloutMessageTest {
    @Test
    void stateWithUnknownVerdictIsRefusedWithTheTypedError() {
        for (int verdict : new int[] {-1, 99, Integer.MAX_VALUE}) {
            AzurearchException refusal =
                    assertThrows(
                            AzurearchException.class,
                            () -> RolloutWire.fromWire(state().setVerdict(verdict)));
            assertEquals(ErrorCode.CORRUPT, refusal.code());
        }
    }

    @Test
    void statesBesideOneThatCannotBeReadHold() {
        List<RolloutState> read =
                RolloutWire.readable(List.of(state(), state().setVerdict(99), state()));
        assertEquals(2, read.size());
    }

    private static WireRolloutState state() {
        return RolloutWire.toWire(
                new RolloutState(
                        "s",
                        1,
                        "v2",
                        "v1",
                        Verdict.RUNNING,
                        1,
                        0.1,
                        1_000,
                        10,
                        Set.of(),
                        Map.of(),
                        Map.of()));
    }
}
