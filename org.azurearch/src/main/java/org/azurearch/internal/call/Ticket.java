package org.azurearch.internal.call;

import java.util.Optional;
import org.azurearch.errors.AzurearchException;
import org.azurearch.lib.NodeId;
import org.jspecify.annotations.Nullable;

/**
 * A ticket: an idempotency key that names the node whose memory decides on it.
 *
 * @param home the node that issued it
 * @param epoch the start of that node's process; its memory does not outlive the process
 * @param number a number that the node gives out once
 * @param issuedMillis when it was issued, by that process's monotonic clock
 */
record Ticket(NodeId home, String epoch, long number, long issuedMillis) {
    private static final String PURPOSE = "ticket";
    private static final String SEPARATOR = "~";
    private static final int PARTS = 5;
    private static final int MAX_LENGTH = 256;

    /** Returns the signed text form. */
    String text(MeshKeys.Signer signer) {
        return key() + SEPARATOR + signer.sign(PURPOSE, key());
    }

    /** Returns what identifies the ticket in its home's memory. */
    String key() {
        return String.join(
                SEPARATOR, home.name(), epoch, Long.toString(number), Long.toString(issuedMillis));
    }

    /** Parses the text form; nothing when it is malformed or not signed by this mesh. */
    static Optional<Ticket> fromString(MeshKeys.Signer signer, @Nullable String text) {
        if (text == null || text.length() > MAX_LENGTH) {
            return Optional.empty();
        }
        String[] parts = text.split(SEPARATOR, -1);
        if (parts.length != PARTS) {
            return Optional.empty();
        }
        try {
            int next = 0;
            Ticket ticket =
                    new Ticket(
                            NodeId.fromString(parts[next++]),
                            parts[next++],
                            Long.parseLong(parts[next++]),
                            Long.parseLong(parts[next++]));
            return signer.verify(PURPOSE, ticket.key(), parts[next])
                    ? Optional.of(ticket)
                    : Optional.empty();
        } catch (NumberFormatException | AzurearchException e) {
            return Optional.empty();
        }
    }
}
