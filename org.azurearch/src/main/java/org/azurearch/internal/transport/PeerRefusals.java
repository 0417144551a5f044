package org.azurearch.internal.transport;

import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.thrift.PeerReply;
import org.azurearch.thrift.WireRefused;

/** Turns the refusal of a request back into an exception. */
final class PeerRefusals {
    private PeerRefusals() {}

    /** Returns a reply, or throws when it is a refusal. */
    static PeerReply requireNotRefused(PeerReply reply) {
        if (!reply.isSetRefused()) {
            return reply;
        }
        WireRefused refused = reply.getRefused();
        throw new AzurearchException(codeOf(refused.getCode()), refused.getMessage());
    }

    private static ErrorCode codeOf(String text) {
        for (ErrorCode code : ErrorCode.values()) {
            if (code.code().equals(text)) {
                return code;
            }
        }
        return ErrorCode.INTERNAL;
    }
}
