package org.azurearch.internal.member;

import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.internal.fold.ThriftBytes;
import org.azurearch.lib.DataCentreId;
import org.azurearch.lib.NetAddress;
import org.azurearch.lib.NodeId;
import org.azurearch.member.Member;
import org.azurearch.thrift.WireMember;

/**
 * A record in the log with the peer address of a node. It is only a hint: the process found at the
 * address must still prove that it holds the mesh's key.
 *
 * @param node the node
 * @param dataCentre its data centre
 * @param peer its address for peer requests
 */
record JoinRecord(NodeId node, DataCentreId dataCentre, NetAddress peer) {
    private static final int MAX_BYTES = 4_096;

    static JoinRecord of(Member member) {
        return new JoinRecord(member.node(), member.dataCentre(), member.peer());
    }

    /** Encodes the record of a node, without its endpoints. */
    static byte[] encode(Member member) {
        WireMember wire = MemberWire.write(member);
        wire.unsetEndpoints();
        return ThriftBytes.write(wire);
    }

    /**
     * Decodes a record.
     *
     * @throws AzurearchException with {@code CORRUPT} or {@code BAD_NAME} when it is malformed
     */
    static JoinRecord decode(byte[] data) {
        if (data.length > MAX_BYTES) {
            throw new AzurearchException(ErrorCode.CORRUPT, "join record too large");
        }
        return of(MemberWire.read(ThriftBytes.read(new WireMember(), data)));
    }
}
