package org.azurearch.internal.member;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.azurearch.lib.DataCentreId;
import org.azurearch.member.Member;
import org.junit.jupiter.api.Test;

class MemberTableTest {
    private static final int MAX_MEMBERS = 10;

    /** Guards against a list that its callers cannot filter, which ended the members' duty. */
    @Test
    void dataCentreWithoutReachableMembersHasListThatCanBeFiltered() {
        MemberTable table = new MemberTable(MAX_MEMBERS);
        List<Member> reachable = table.reachable(DataCentreId.fromString("cut-off"));
        reachable.removeIf(member -> true);
        assertEquals(List.of(), reachable);
    }
}
