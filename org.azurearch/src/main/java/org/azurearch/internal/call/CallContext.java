package org.azurearch.internal.call;

import java.util.HexFormat;
import java.util.Optional;
import org.azurearch.lib.NodeId;
import org.azurearch.route.Route;
import org.jspecify.annotations.Nullable;

/**
 * The context that backend servers pass from a call to the calls they make for it. It bounds the
 * depth of the chain, detects loops and prevents nested retries. It is signed, so that a caller
 * cannot lower its depth.
 *
 * @param depth the number of calls above this one
 * @param retrying whether a call above is a retry, in which case this call is not retried
 * @param deadlineMillis the deadline of the call above, in milliseconds since the epoch
 * @param path the visited pairs of backend server and route, as concatenated steps of equal length
 */
record CallContext(int depth, boolean retrying, long deadlineMillis, String path) {
    /** The greatest depth of a chain of calls. */
    static final int MAX_DEPTH = 29;

    /** The context of a call that has no call above it. */
    static final CallContext ROOT = new CallContext(0, false, Long.MAX_VALUE, "");

    private static final String PURPOSE = "context";
    private static final String SEPARATOR = "~";
    private static final int PARTS = 5;
    private static final int STEP_LENGTH = 8;

    /** Returns the context of the calls that a backend server makes for an attempt of this call. */
    CallContext child(boolean attemptIsRetry, long callDeadlineMillis, String step) {
        return new CallContext(
                depth + 1,
                retrying || attemptIsRetry,
                Math.min(deadlineMillis, callDeadlineMillis),
                path + step);
    }

    /** Returns whether the chain has visited a step. */
    boolean visited(String step) {
        for (int i = 0; i < path.length(); i += STEP_LENGTH) {
            if (path.startsWith(step, i)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the path step for a route and the backend server behind a node. */
    static String step(NodeId node, Route route) {
        int hash = (node.name() + ' ' + route.firm() + ' ' + route.config().id()).hashCode();
        return HexFormat.of().toHexDigits(hash);
    }

    /** Returns the signed text form. */
    String signedText(MeshKeys.Signer signer) {
        String unsigned = unsignedText();
        return unsigned + SEPARATOR + signer.sign(PURPOSE, unsigned);
    }

    /** Returns the text form without signature, for authenticated connections between nodes. */
    String unsignedText() {
        return String.join(
                SEPARATOR,
                Integer.toString(depth),
                Boolean.toString(retrying),
                Long.toString(deadlineMillis),
                path);
    }

    /** Parses the signed form; empty when the signature is missing or not by a key of this mesh. */
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

    /**
     * Parses the form without signature.
     *
     * @throws NumberFormatException if it is malformed
     */
    static CallContext fromUnsignedText(String text) {
        String[] parts = text.split(SEPARATOR, -1);
        if (parts.length != PARTS - 1) {
            throw new NumberFormatException("a call context has four parts");
        }
        int next = 0;
        return new CallContext(
                Integer.parseInt(parts[next++]),
                Boolean.parseBoolean(parts[next++]),
                Long.parseLong(parts[next++]),
                parts[next]);
    }
}
