package org.azurearch.admin;

import org.azurearch.lib.ChangeId;
import org.azurearch.lib.FirmId;

/** Asks where a change stands. */
public final class StatusCommand {
    private final AdminClient mClient;
    private final FirmId mFirm;
    private final ChangeId mChange;

    /**
     * Creates a command.
     *
     * @param client the client
     * @param firm the firm
     * @param change the change
     */
    public StatusCommand(AdminClient client, FirmId firm, ChangeId change) {
        mClient = client;
        mFirm = firm;
        mChange = change;
    }

    /** Returns where the change stands. */
    public ChangeReport call() {
        return mClient.get(
                "/v1/firms/" + mFirm.name() + "/changes/" + mChange.name(), ChangeReport.class);
    }
}
