package org.azurearch.sidecar.internal.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against a configuration that is used although no word of a newer one can have come. */
class ConfigLeaseTest {
    private static final long APPLY = 2_000;

    /** The part of that time for which a confirmation holds. */
    private static final long VALID = 1_200;

    private final ConfigLease mLease = new ConfigLease(APPLY);

    @Test
    void hasEndedBeforeTheFirstConfirmation() {
        assertTrue(mLease.ended(0));
        assertTrue(mLease.renewalDue(0));
        assertEquals(Long.MAX_VALUE, mLease.ageNanos(0));
    }

    @Test
    void readOfTheStoreHoldsFromItsRequest() {
        mLease.confirmedByStore(5_000);
        assertFalse(mLease.ended(5_000 + VALID));
        assertTrue(mLease.ended(5_001 + VALID));
        assertEquals(700, mLease.ageNanos(5_700));
    }

    /** Guards against a reply that was held up on its way, or at a peer that was late itself. */
    @Test
    void replyHoldsFromItsRequestLessTheAgeAtThePeer() {
        mLease.confirmedByPeer(5_000, 400);
        assertFalse(mLease.ended(4_600 + VALID));
        assertTrue(mLease.ended(4_601 + VALID));
    }

    @Test
    void olderConfirmationDoesNotShortenTheLease() {
        mLease.confirmedByPeer(5_000, 0);
        mLease.confirmedByPeer(5_100, 900);
        mLease.confirmedByStore(4_000);
        assertFalse(mLease.ended(5_000 + VALID));
        assertFalse(mLease.endedByPeers(5_000 + VALID));
    }

    @Test
    void renewalIsDueWellBeforeTheEnd() {
        mLease.confirmedByStore(5_000);
        assertFalse(mLease.renewalDue(5_000 + APPLY / 4));
        assertTrue(mLease.renewalDue(5_000 + VALID * 2 / 3));
    }

    /** Guards against a node that stops reading the store although its links do not work. */
    @Test
    void readOfTheStoreIsNoWordOfPeers() {
        mLease.confirmedByStore(5_000);
        assertTrue(mLease.endedByPeers(5_000));
        mLease.confirmedByPeer(5_000, 0);
        assertFalse(mLease.endedByPeers(5_000));
        assertTrue(mLease.endedByPeers(5_001 + VALID));
    }
}
