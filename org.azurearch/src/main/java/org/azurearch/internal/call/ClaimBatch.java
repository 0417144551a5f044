package org.azurearch.internal.call;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.Optional;

/**
 * The content of a record in the claims stream.
 *
 * @param claims the claims, in the order in which they apply
 */
record ClaimBatch(List<Claim> claims) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * A claim.
     *
     * @param key the claimed key, see {@link ClaimKey}
     * @param ticket the ticket assigned to the key if this claim is its first
     */
    record Claim(String key, String ticket) {}

    /** Returns the record's content. */
    byte[] bytes() {
        try {
            return JSON.writeValueAsBytes(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialise a batch of claims to JSON", e);
        }
    }

    /** Parses a record's content; empty when it is malformed. */
    static Optional<ClaimBatch> fromBytes(byte[] bytes) {
        try {
            ClaimBatch batch = JSON.readValue(bytes, ClaimBatch.class);
            boolean complete =
                    batch != null
                            && batch.claims() != null
                            && batch.claims().stream()
                                    .allMatch(
                                            c ->
                                                    c != null
                                                            && c.key() != null
                                                            && c.ticket() != null);
            return complete ? Optional.of(batch) : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
