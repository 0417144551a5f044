package org.azurearch.internal.call;

import java.util.Optional;
import org.azurearch.errors.AzurearchException;
import org.azurearch.lib.NodeId;
import org.jspecify.annotations.Nullable;

/**
 * An idempotency key issued by a node, its home node, which stores the outcome of the request.
 *
 * @param home the node that issued the ticket
 * @param epoch identifies the process of that node; outcomes are lost when the process ends
 * @param number a sequence number, unique within the process
 * @param issuedMillis the time of issue on that process's monotonic clock
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

    /** Returns the unsigned text form, under which the home node stores the outcome. */
    String key() {
        return String.join(
                SEPARATOR, home.name(), epoch, Long.toString(number), Long.toString(issuedMillis));
    }

    /** Parses the signed text form; empty if it is malformed or not signed by this mesh. */
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
