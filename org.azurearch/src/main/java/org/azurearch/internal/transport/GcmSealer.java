package org.azurearch.internal.transport;

import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import javax.crypto.Cipher;
import javax.crypto.spec.GCMParameterSpec;
import javax.crypto.spec.SecretKeySpec;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;

/**
 * Encrypts and authenticates messages with AES-256-GCM, using keys derived from the shared keys.
 *
 * <p>A sealed message is a header (format, key identifier, session, counter) followed by the
 * ciphertext. Each process chooses a random session identifier at start and numbers its messages
 * within the session, so that no nonce is used twice with one key. Requests and replies use
 * different keys. A reply also authenticates the header of its request.
 */
final class GcmSealer implements Sealer {
    private static final byte FORMAT = 1;
    private static final int SESSION_BYTES = 12;
    private static final int SESSION_OFFSET = 1 + SharedKey.ID_BYTES;
    private static final int COUNTER_OFFSET = SESSION_OFFSET + SESSION_BYTES;
    private static final int HEADER_BYTES = COUNTER_OFFSET + Long.BYTES;
    private static final int NONCE_BYTES = 12;
    private static final int TAG_BITS = 128;
    private static final int MAX_TRACKED_SESSIONS = 16_384;
    private static final String REQUEST = "request";
    private static final String REPLY = "reply";
    private static final byte[] NO_REQUEST_HEADER = new byte[0];

    private final List<SharedKey> mKeys;
    private final byte[] mSession = new byte[SESSION_BYTES];
    private final AtomicLong mCounter = new AtomicLong();
    private final ReplayFilter mReplayFilter = new ReplayFilter(MAX_TRACKED_SESSIONS);

    /**
     * Creates a sealer with a new random session.
     *
     * @param mesh the name of the mesh
     * @param keys the shared keys in hexadecimal form, at least one; requests are sealed with the
     *     first
     * @throws AzurearchException with {@code OUT_OF_RANGE} when a key is malformed
     */
    GcmSealer(String mesh, List<String> keys) {
        List<SharedKey> parsed = new ArrayList<>();
        for (String key : keys) {
            parsed.add(SharedKey.fromHex(mesh, key));
        }
        mKeys = List.copyOf(parsed);
        new SecureRandom().nextBytes(mSession);
    }

    @Override
    public SealedRequest sealRequest(byte[] plain) {
        byte[] header = newHeader(mKeys.get(0));
        byte[] sealed = seal(mKeys.get(0), REQUEST, header, NO_REQUEST_HEADER, plain);
        return new SealedRequest(sealed, new ReplyBinding(0, header));
    }

    @Override
    public OpenedRequest openRequest(byte[] sealed) {
        byte[] header = headerOf(sealed);
        int keyIndex = keyIndexOf(header);
        byte[] plain = open(mKeys.get(keyIndex), REQUEST, header, NO_REQUEST_HEADER, sealed);
        long counter = ByteBuffer.wrap(header).getLong(COUNTER_OFFSET);
        if (!mReplayFilter.tryAdvance(sessionOf(header), counter)) {
            throw unauthenticated("replayed request");
        }
        return new OpenedRequest(plain, new ReplyBinding(keyIndex, header));
    }

    @Override
    public byte[] sealReply(ReplyBinding binding, byte[] plain) {
        SharedKey key = mKeys.get(binding.keyIndex());
        return seal(key, REPLY, newHeader(key), binding.requestHeader(), plain);
    }

    @Override
    public byte[] openReply(ReplyBinding binding, byte[] sealed) {
        byte[] header = headerOf(sealed);
        SharedKey key = mKeys.get(binding.keyIndex());
        if (keyIndexOf(header) != binding.keyIndex()) {
            throw unauthenticated("reply sealed with another key");
        }
        return open(key, REPLY, header, binding.requestHeader(), sealed);
    }

    private byte[] newHeader(SharedKey key) {
        return ByteBuffer.allocate(HEADER_BYTES)
                .put(FORMAT)
                .put(key.id())
                .put(mSession)
                .putLong(mCounter.incrementAndGet())
                .array();
    }

    private static byte[] seal(
            SharedKey key, String purpose, byte[] header, byte[] requestHeader, byte[] plain) {
        try {
            Cipher cipher = newCipher(Cipher.ENCRYPT_MODE, key, purpose, header, requestHeader);
            byte[] sealed =
                    Arrays.copyOf(header, HEADER_BYTES + cipher.getOutputSize(plain.length));
            cipher.doFinal(plain, 0, plain.length, sealed, HEADER_BYTES);
            return sealed;
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("cannot seal", e);
        }
    }

    private static byte[] open(
            SharedKey key, String purpose, byte[] header, byte[] requestHeader, byte[] sealed) {
        try {
            Cipher cipher = newCipher(Cipher.DECRYPT_MODE, key, purpose, header, requestHeader);
            return cipher.doFinal(sealed, HEADER_BYTES, sealed.length - HEADER_BYTES);
        } catch (GeneralSecurityException e) {
            throw unauthenticated("message not sealed with the shared key");
        }
    }

    private static Cipher newCipher(
            int mode, SharedKey key, String purpose, byte[] header, byte[] requestHeader)
            throws GeneralSecurityException {
        SecretKeySpec sessionKey = key.sessionKey(purpose, sessionOf(header));
        byte[] nonce = new byte[NONCE_BYTES];
        System.arraycopy(header, COUNTER_OFFSET, nonce, NONCE_BYTES - Long.BYTES, Long.BYTES);
        Cipher cipher = Cipher.getInstance("AES/GCM/NoPadding");
        cipher.init(mode, sessionKey, new GCMParameterSpec(TAG_BITS, nonce));
        cipher.updateAAD(header);
        cipher.updateAAD(requestHeader);
        return cipher;
    }

    private static byte[] headerOf(byte[] sealed) {
        if (sealed.length < HEADER_BYTES || sealed[0] != FORMAT) {
            throw unauthenticated("not a sealed message");
        }
        return Arrays.copyOf(sealed, HEADER_BYTES);
    }

    private int keyIndexOf(byte[] header) {
        for (int i = 0; i < mKeys.size(); i++) {
            byte[] id = mKeys.get(i).id();
            if (Arrays.equals(id, 0, id.length, header, 1, SESSION_OFFSET)) {
                return i;
            }
        }
        throw unauthenticated("unknown key");
    }

    private static byte[] sessionOf(byte[] header) {
        return Arrays.copyOfRange(header, SESSION_OFFSET, COUNTER_OFFSET);
    }

    private static AzurearchException unauthenticated(String message) {
        return new AzurearchException(ErrorCode.PEER_UNAUTHENTICATED, message);
    }
}
