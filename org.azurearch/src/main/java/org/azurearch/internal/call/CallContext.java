package org.azurearch.internal.call;

import java.util.HexFormat;
import java.util.Optional;
import org.azurearch.lib.NodeId;
import org.azurearch.route.Route;
import org.jspecify.annotations.Nullable;

/**
 * What a chain of calls carries from one call to the next through the backend servers between them.
 * It is signed, so that a caller cannot lower its depth.
 *
 * @param depth calls above this one
 * @param retrying whether a call above is a further attempt, so that this one makes none
 * @param deadlineMillis when the call above ends, in milliseconds since the epoch
 * @param path the backend servers and routes passed, as a text of steps of equal length
 */
record CallContext(int depth, boolean retrying, long deadlineMillis, String path) {
    /** The deepest chain of calls. */
    static final int MAX_DEPTH = 29;

    /** The context of a call that no other call has caused. */
    static final CallContext ROOT = new CallContext(0, false, Long.MAX_VALUE, "");

    private static final String PURPOSE = "context";
    private static final String SEPARATOR = "~";
    private static final int PARTS = 5;
    private static final int STEP_LENGTH = 8;

    /** Returns the context of the calls that a backend server makes for a call in this one. */
    CallContext child(boolean attemptIsRetry, long callDeadlineMillis, String step) {
        return new CallContext(
                depth + 1,
                retrying || attemptIsRetry,
                Math.min(deadlineMillis, callDeadlineMillis),
                path + step);
    }

    /** Says whether the chain has passed a step. */
    boolean visited(String step) {
        for (int i = 0; i < path.length(); i += STEP_LENGTH) {
            if (path.startsWith(step, i)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the step of a call on a route to the backend server behind a node. */
    static String step(NodeId node, Route route) {
        int hash = (node.name() + ' ' + route.firm() + ' ' + route.config().id()).hashCode();
        return HexFormat.of().toHexDigits(hash);
    }

    /** Returns the signed text form. */
    String signedText(MeshKeys.Signer signer) {
        String unsigned = unsignedText();
        return unsigned + SEPARATOR + signer.sign(PURPOSE, unsigned);
    }

    /** Returns the text form without signature, for connections between nodes. */
    String unsignedText() {
        return String.join(
                SEPARATOR,
                Integer.toString(depth),
                Boolean.toString(retrying),
                Long.toString(deadlineMillis),
                path);
    }

    /** Parses the signed form; nothing when it is malformed or not signed by this mesh. */
    static Optional<CallContext> fromString(MeshKeys.Signer signer, @Nullable String text) {
        if (text == null) {
            return Optional.empty();
        }
        int signature = text.lastIndexOf(SEPARATOR);
        if (signature < 0
                || !signer.verify(
                        PURPOSE, text.substring(0, signature), text.substring(signature + 1))) {
            return Optional.empty();
        }
        return Optional.of(fromUnsignedText(text.substring(0, signature)));
    }

    /** Parses the form without signature. */
    static CallContext fromUnsignedText(String text) {
        String[] parts = text.split(SEPARATOR, -1);
        if (parts.length != PARTS - 1) {
            throw new NumberFormatException("a context has four parts");
        }
        int next = 0;
        return new CallContext(
                Integer.parseInt(parts[next++]),
                Boolean.parseBoolean(parts[next++]),
                Long.parseLong(parts[next++]),
                parts[next]);
    }
}
