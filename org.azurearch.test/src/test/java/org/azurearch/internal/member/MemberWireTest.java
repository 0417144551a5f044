package org.azurearch.internal.member;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.junit.SmallStack;
import org.azurearch.thrift.WireAddress;
import org.azurearch.thrift.WireEndpoint;
import org.azurearch.thrift.WireGossip;
import org.azurearch.thrift.WireMember;
import org.junit.jupiter.api.Test;

/** Guards against an odd announcement that hides others or ends the reader's thread. */
class MemberWireTest {
    private final MemberNetwork mNetwork = new MemberNetwork(1);

    @Test
    void oddMemberInGossipHidesNoOther() {
        for (WireMember odd :
                List.of(
                        member("odd").setPeer(new WireAddress("127.0.0.1", 70_000)),
                        member("odd").setCalls(new WireAddress("127.0.0.1", -1)),
                        member("odd").setState(99),
                        member("odd").setState(-1),
                        member("Odd Node"),
                        member("odd").setDataCentre(""),
                        member("odd")
                                .setEndpoints(List.of(new WireEndpoint("f", "s", 99, 1, 0))))) {
            WireGossip gossip =
                    new WireGossip().setMembers(List.of(member("first"), odd, member("last")));
            assertEquals(
                    List.of("first", "last"),
                    MemberWire.read(gossip).members().stream().map(m -> m.node().name()).toList(),
                    odd.toString());
        }
    }

    @Test
    void deeplyNestedJoinRecordIsRefused() throws Exception {
        byte[] nested = new byte[4_096];
        Arrays.fill(nested, (byte) 0x1c);
        AzurearchException refusal =
                SmallStack.call(
                        () ->
                                assertThrows(
                                        AzurearchException.class, () -> JoinRecord.decode(nested)));
        assertEquals(ErrorCode.CORRUPT, refusal.code());
    }

    private WireMember member(String node) {
        return MemberWire.write(mNetwork.start("n", "a").mesh().self()).setNode(node);
    }
}
