package org.azurearch.internal.transport;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.util.Arrays;
import java.util.HexFormat;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;

/** A key shared by all nodes of a mesh, from which session keys are derived as in HKDF. */
final class SharedKey {
    /** Length of the shared key, in bytes. */
    static final int LENGTH_BYTES = 32;

    /** Length of the key's public identifier, in bytes. */
    static final int ID_BYTES = 4;

    private static final String HMAC = "HmacSHA256";

    /** HKDF block counter: each output is one block long. */
    private static final byte HKDF_BLOCK = 1;

    private final byte[] mPseudoRandomKey;
    private final byte[] mId;

    private SharedKey(byte[] pseudoRandomKey) {
        mPseudoRandomKey = pseudoRandomKey;
        mId = Arrays.copyOf(derive("id", new byte[0]), ID_BYTES);
    }

    /**
     * Parses a key in hexadecimal form.
     *
     * @param mesh the name of the mesh, used as salt: the same key in two meshes gives different
     *     session keys
     * @throws AzurearchException with {@code OUT_OF_RANGE} if the key is malformed
     */
    static SharedKey fromHex(String mesh, String hex) {
        byte[] key;
        try {
            key = HexFormat.of().parseHex(hex);
        } catch (IllegalArgumentException e) {
            throw malformed();
        }
        if (key.length != LENGTH_BYTES) {
            throw malformed();
        }
        byte[] salt = ("azurearch peer 1 " + mesh).getBytes(StandardCharsets.UTF_8);
        return new SharedKey(hmac(salt, key, new byte[0]));
    }

    /** Returns the public identifier of the key, which does not reveal it. */
    byte[] id() {
        return mId;
    }

    /** Derives the AES-256 key for a purpose and session. */
    SecretKeySpec sessionKey(String purpose, byte[] session) {
        return new SecretKeySpec(derive(purpose, session), "AES");
    }

    private byte[] derive(String purpose, byte[] context) {
        byte[] info = (purpose + '/').getBytes(StandardCharsets.UTF_8);
        return hmac(mPseudoRandomKey, info, context);
    }

    private static byte[] hmac(byte[] key, byte[] first, byte[] second) {
        try {
            Mac mac = Mac.getInstance(HMAC);
            mac.init(new SecretKeySpec(key, HMAC));
            mac.update(first);
            mac.update(second);
            return mac.doFinal(new byte[] {HKDF_BLOCK});
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every Java platform has " + HMAC, e);
        }
    }

    private static AzurearchException malformed() {
        return new AzurearchException(
                ErrorCode.OUT_OF_RANGE, "a shared key must have 64 hexadecimal digits");
    }
}
