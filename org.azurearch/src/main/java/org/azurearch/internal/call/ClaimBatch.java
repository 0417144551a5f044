package org.azurearch.internal.call;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.Optional;

/**
 * The content of a record of the claims stream.
 *
 * @param claims the claims, in order
 */
record ClaimBatch(List<Claim> claims) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * A claim.
     *
     * @param key what is claimed
     * @param ticket the ticket that it gives to the key
     */
    record Claim(String key, String ticket) {}

    /** Returns the record's content. */
    byte[] bytes() {
        try {
            return JSON.writeValueAsBytes(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a record of texts has a JSON form", e);
        }
    }

    /** Parses a record's content; nothing when it is malformed. */
    static Optional<ClaimBatch> fromBytes(byte[] bytes) {
        try {
            ClaimBatch batch = JSON.readValue(bytes, ClaimBatch.class);
            boolean complete =
                    batch.claims() != null
                            && batch.claims().stream()
                                    .allMatch(c -> c.key() != null && c.ticket() != null);
            return complete ? Optional.of(batch) : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
