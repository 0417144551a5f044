package org.azurearch.admin;

import org.azurearch.lib.ChangeId;
import org.azurearch.lib.FirmId;

/**
 * Raises the rule set that the mesh validates changes against. To be used only when every node
 * supports the new rule set.
 */
public final class RaiseCommand extends ChangeCommand<RaiseCommand> {
    private final int mRuleSet;

    /**
     * Creates a command.
     *
     * @param client the client
     * @param firm the firm that the change is recorded under
     * @param ruleSet the rule set, one above the one in force
     */
    public RaiseCommand(AdminClient client, FirmId firm, int ruleSet) {
        super(client, firm);
        mRuleSet = ruleSet;
    }

    @Override
    void submit(AdminClient client, FirmId firm, ChangeId id, String note) {
        client.post(
                "/v1/firms/" + firm.name() + "/rule-set",
                new RaiseRequest(id.name(), mRuleSet, note),
                ChangeAppended.class);
    }

    @Override
    RaiseCommand self() {
        return this;
    }
}
