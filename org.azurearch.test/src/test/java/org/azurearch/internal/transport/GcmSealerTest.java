package org.azurearch.internal.transport;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;

class GcmSealerTest {
    private static final String OLD_KEY = "0f".repeat(32);
    private static final String NEW_KEY = "f0".repeat(32);
    private static final byte[] PLAIN = "the content".getBytes(StandardCharsets.UTF_8);

    private final GcmSealer mClient = new GcmSealer("mesh", List.of(OLD_KEY));
    private final GcmSealer mServer = new GcmSealer("mesh", List.of(OLD_KEY));

    @Test
    void roundTripHidesTheContent() {
        Sealer.SealedRequest request = mClient.sealRequest(PLAIN);
        assertFalse(new String(request.bytes(), StandardCharsets.ISO_8859_1).contains("content"));
        Sealer.OpenedRequest opened = mServer.openRequest(request.bytes());
        assertArrayEquals(PLAIN, opened.plain());
        byte[] reply = mServer.sealReply(opened.binding(), PLAIN);
        assertArrayEquals(PLAIN, mClient.openReply(request.binding(), reply));
    }

    @Property(tries = 200, seed = "21")
    void everyChangedByteIsRefused(@ForAll @IntRange(min = 0, max = 51) int position) {
        byte[] sealed = mClient.sealRequest(PLAIN).bytes();
        sealed[position] ^= 1;
        assertRefused(() -> mServer.openRequest(sealed));
    }

    @Test
    void replayedRequestIsRefused() {
        byte[] sealed = mClient.sealRequest(PLAIN).bytes();
        mServer.openRequest(sealed);
        assertRefused(() -> mServer.openRequest(sealed));
    }

    @Test
    void requestOlderThanOneSeenIsRefused() {
        byte[] first = mClient.sealRequest(PLAIN).bytes();
        mServer.openRequest(mClient.sealRequest(PLAIN).bytes());
        assertRefused(() -> mServer.openRequest(first));
    }

    @Test
    void replyToAnotherRequestIsRefused() {
        Sealer.SealedRequest first = mClient.sealRequest(PLAIN);
        Sealer.SealedRequest second = mClient.sealRequest(PLAIN);
        byte[] reply = mServer.sealReply(mServer.openRequest(first.bytes()).binding(), PLAIN);
        assertRefused(() -> mClient.openReply(second.binding(), reply));
    }

    @Test
    void requestReflectedAsReplyIsRefused() {
        Sealer.SealedRequest request = mClient.sealRequest(PLAIN);
        assertRefused(() -> mClient.openReply(request.binding(), request.bytes()));
    }

    @Test
    void anotherMeshWithTheSameKeyIsRefused() {
        GcmSealer otherMesh = new GcmSealer("other", List.of(OLD_KEY));
        assertRefused(() -> otherMesh.openRequest(mClient.sealRequest(PLAIN).bytes()));
    }

    @Test
    void keysAreRotatedWithoutInterruption() {
        GcmSealer bothKeys = new GcmSealer("mesh", List.of(NEW_KEY, OLD_KEY));
        GcmSealer newKeyOnly = new GcmSealer("mesh", List.of(NEW_KEY));
        assertExchange(mClient, bothKeys);
        assertExchange(bothKeys, newKeyOnly);
        assertExchange(newKeyOnly, bothKeys);
        assertRefused(() -> newKeyOnly.openRequest(mClient.sealRequest(PLAIN).bytes()));
    }

    @Test
    void malformedKeyIsRefused() {
        AzurearchException e =
                assertThrows(AzurearchException.class, () -> new GcmSealer("mesh", List.of("abc")));
        assertEquals(ErrorCode.OUT_OF_RANGE, e.code());
    }

    private static void assertExchange(GcmSealer client, GcmSealer server) {
        Sealer.SealedRequest request = client.sealRequest(PLAIN);
        Sealer.OpenedRequest opened = server.openRequest(request.bytes());
        byte[] reply = server.sealReply(opened.binding(), PLAIN);
        assertArrayEquals(PLAIN, client.openReply(request.binding(), reply));
    }

    private static void assertRefused(Executable executable) {
        AzurearchException e = assertThrows(AzurearchException.class, executable);
        assertEquals(ErrorCode.PEER_UNAUTHENTICATED, e.code());
    }
}
