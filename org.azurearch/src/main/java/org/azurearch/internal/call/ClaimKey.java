package org.azurearch.internal.call;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Base64;
import org.azurearch.lib.Digest;
import org.azurearch.lib.FirmId;

/** Hashes callers' idempotency keys, scoped by firm, for the claims stream. */
final class ClaimKey {
    private static final int BYTES = 18;

    private ClaimKey() {}

    /** Returns the hash of an idempotency key. */
    static String of(FirmId firm, String key) {
        byte[] digest =
                Digest.of((firm.name() + '\n' + key).getBytes(StandardCharsets.UTF_8)).bytes();
        return Base64.getUrlEncoder().encodeToString(Arrays.copyOf(digest, BYTES));
    }
}
