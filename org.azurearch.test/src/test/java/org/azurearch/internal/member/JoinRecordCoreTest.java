package org.azurearch.internal.member;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import org.azurearch.errors.AzurearchException;
import org.azurearch.internal.member.JoinRecordCore.Role;
import org.azurearch.lib.DataCentreId;
import org.azurearch.lib.NetAddress;
import org.azurearch.lib.NodeId;
import org.junit.jupiter.api.Test;

class JoinRecordCoreTest {
    private static final Duration RENEWAL = Duration.ofHours(6);
    private static final long HOUR_MILLIS = 3_600_000L;

    private final JoinRecordCore mCore =
            new JoinRecordCore(record("own", "a", 1), RENEWAL, new SplittableRandom(1));

    @Test
    void loneNodeAppendsOnItsSecondCheck() {
        assertFalse(mCore.shouldAppend(Role.ALONE, at(0)));
        assertTrue(mCore.shouldAppend(Role.ALONE, at(1)));
        mCore.recordAppend(at(1));
        assertFalse(mCore.shouldAppend(Role.ALONE, at(2)));
    }

    @Test
    void herdStopsAppendingOnceItsDataCentreHasEnoughFreshRecords() {
        mCore.shouldAppend(Role.ALONE, at(0));
        mCore.addRecord(record("n1", "a", 2), 0);
        assertTrue(mCore.shouldAppend(Role.ALONE, at(1)));
        mCore.addRecord(record("n2", "b", 3), 0);
        assertTrue(mCore.shouldAppend(Role.ALONE, at(1)));
        mCore.addRecord(record("n3", "a", 4), 0);
        assertFalse(mCore.shouldAppend(Role.ALONE, at(1)));
        assertEquals(3, mCore.addresses().size());
    }

    @Test
    void relayRenewsBeforeRecordsAreRemoved() {
        mCore.addRecord(record("n1", "a", 2), 0);
        mCore.addRecord(record("n2", "a", 3), 0);
        assertFalse(mCore.shouldAppend(Role.RELAY, at(5 * HOUR_MILLIS)));
        assertTrue(mCore.shouldAppend(Role.RELAY, at(6 * HOUR_MILLIS)));
    }

    @Test
    void ordinaryNodeNeverAppends() {
        assertFalse(mCore.shouldAppend(Role.ORDINARY, at(0)));
        assertFalse(mCore.shouldAppend(Role.ORDINARY, at(1)));
    }

    @Test
    void ownRecordWithAnOldAddressIsNotFresh() {
        mCore.addRecord(record("own", "a", 9), 0);
        mCore.addRecord(record("n1", "a", 2), 0);
        assertTrue(mCore.shouldAppend(Role.RELAY, at(1)));
        assertEquals(
                List.of(new NetAddress("10.0.0.1", 9), new NetAddress("10.0.0.1", 2)),
                mCore.addresses());
    }

    @Test
    void malformedRecordIsRefused() {
        assertThrows(AzurearchException.class, () -> JoinRecord.decode(new byte[] {1, 2, 3}));
        assertThrows(AzurearchException.class, () -> JoinRecord.decode(new byte[5_000]));
    }

    private static JoinRecord record(String node, String dataCentre, int port) {
        return new JoinRecord(
                NodeId.fromString(node),
                DataCentreId.fromString(dataCentre),
                new NetAddress("10.0.0.1", port));
    }

    private static Moment at(long millis) {
        return new Moment(millis, millis);
    }
}
