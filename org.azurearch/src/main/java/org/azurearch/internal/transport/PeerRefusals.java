package org.azurearch.internal.transport;

import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.thrift.PeerReply;
import org.azurearch.thrift.WireRefused;

/** Converts refusals sent by a peer into exceptions. */
final class PeerRefusals {
    private PeerRefusals() {}

    /** Returns the reply, or throws an exception with the code of the peer if it is a refusal. */
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
