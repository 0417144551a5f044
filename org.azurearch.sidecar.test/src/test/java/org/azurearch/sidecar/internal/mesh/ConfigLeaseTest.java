package org.azurearch.sidecar.internal.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against a configuration that is used although no word of a newer one can have come. */
class ConfigLeaseTest {
    private static final long APPLY = 2_000;

    /** The part of that time for which a confirmation holds. */
    private static final long VALID = 1_800;

    private final ConfigLease mLease = new ConfigLease(APPLY);

    @Test
    void hasEndedBeforeTheFirstConfirmation() {
        assertTrue(mLease.ended(0));
        assertTrue(mLease.renewalDue(0));
        assertEquals(Long.MAX_VALUE, mLease.ageNanos(0));
    }

    @Test
    void readOfTheStoreHoldsFromItsRequest() {
        mLease.confirmed(5_000, "read");
        assertFalse(mLease.ended(5_000 + VALID));
        assertTrue(mLease.ended(5_001 + VALID));
        assertEquals(700, mLease.ageNanos(5_700));
    }

    @Test
    void olderConfirmationDoesNotShortenTheLease() {
        mLease.confirmedByPeer(5_000, "peer");
        mLease.confirmedByPeer(4_200, "peer");
        mLease.confirmed(4_000, "read");
        assertFalse(mLease.ended(5_000 + VALID));
        assertFalse(mLease.peersSilent(5_000 + APPLY / 3));
    }

    @Test
    void renewalIsDueBeforeTheStoreIsReadAndBothBeforeTheEnd() {
        mLease.confirmed(5_000, "read");
        assertFalse(mLease.renewalDue(5_600));
        assertTrue(mLease.renewalDue(5_601));
        assertFalse(mLease.storeReadDue(5_900));
        assertTrue(mLease.storeReadDue(5_901));
        assertFalse(mLease.ended(5_901));
    }

    @Test
    void confirmationIsExpectedSoonAfterTheEnd() {
        assertFalse(mLease.endedWithin(300, 5_000));
        mLease.confirmed(5_000, "read");
        assertTrue(mLease.endedWithin(300, 5_000 + VALID + 300));
        assertFalse(mLease.endedWithin(300, 5_000 + VALID + 301));
    }

    /** Guards against a node that stops reading the store although its links do not work. */
    @Test
    void readOfTheStoreIsNoWordOfPeers() {
        mLease.confirmed(5_000, "read");
        assertTrue(mLease.peersSilent(5_000));
        mLease.confirmedByPeer(5_000, "peer");
        assertFalse(mLease.peersSilent(5_000));
        assertTrue(mLease.peersSilent(5_901));
    }
}
