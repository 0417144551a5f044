package org.azurearch.internal.call;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HexFormat;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.settings.SettingsSection;

/**
 * The keys shared by all nodes of a mesh. The first key signs; every key verifies, so that keys can
 * be rotated while the mesh is running.
 */
final class MeshKeys {
    private static final String HMAC = "HmacSHA256";
    private static final int SIGNATURE_BYTES = 16;

    private final List<SecretKeySpec> mKeys;

    private MeshKeys(List<SecretKeySpec> keys) {
        mKeys = keys;
    }

    /**
     * Reads {@code peers.key} and {@code peers.acceptKeys}.
     *
     * @throws AzurearchException with {@link ErrorCode#MISSING_KEY} if there is no key
     */
    static MeshKeys from(SettingsSection root) {
        SettingsSection peers = root.section("peers");
        List<String> texts = new ArrayList<>();
        texts.add(peers.string("key"));
        texts.addAll(peers.strings("acceptKeys"));
        List<SecretKeySpec> keys = new ArrayList<>();
        for (String text : texts) {
            keys.add(new SecretKeySpec(HexFormat.of().parseHex(text), HMAC));
        }
        return new MeshKeys(List.copyOf(keys));
    }

    /** Creates a signer for use by one thread. */
    Signer signer() {
        return new Signer();
    }

    /** Signs and verifies short texts. Not thread-safe. */
    final class Signer {
        private final List<Mac> mMacs = new ArrayList<>();

        private Signer() {
            for (SecretKeySpec key : mKeys) {
                mMacs.add(mac(key));
            }
        }

        /** Returns the signature of a text for a purpose. */
        String sign(String purpose, String text) {
            return encode(digest(mMacs.get(0), purpose, text));
        }

        /** Returns whether a signature is valid for a text and purpose. */
        boolean verify(String purpose, String text, String signature) {
            byte[] given = signature.getBytes(StandardCharsets.US_ASCII);
            for (Mac mac : mMacs) {
                byte[] valid =
                        encode(digest(mac, purpose, text)).getBytes(StandardCharsets.US_ASCII);
                if (MessageDigest.isEqual(valid, given)) {
                    return true;
                }
            }
            return false;
        }
    }

    private static byte[] digest(Mac mac, String purpose, String text) {
        mac.update(purpose.getBytes(StandardCharsets.UTF_8));
        mac.update((byte) 0);
        return Arrays.copyOf(mac.doFinal(text.getBytes(StandardCharsets.UTF_8)), SIGNATURE_BYTES);
    }

    private static String encode(byte[] bytes) {
        return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
    }

    private static Mac mac(SecretKeySpec key) {
        try {
            Mac mac = Mac.getInstance(HMAC);
            mac.init(key);
            return mac;
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every Java platform has " + HMAC, e);
        }
    }
}
