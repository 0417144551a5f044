package org.azurearch.admin;

import org.azurearch.lib.ChangeId;
import org.azurearch.lib.FirmId;

/** Reads the status of a change. */
public final class StatusCommand {
    private final AdminClient mClient;
    private final FirmId mFirm;
    private final ChangeId mChange;

    /**
     * Creates a command.
     *
     * @param client the client
     * @param firm the firm
     * @param change the id of the change
     */
    public StatusCommand(AdminClient client, FirmId firm, ChangeId change) {
        mClient = client;
        mFirm = firm;
        mChange = change;
    }

    /** Returns the status of the change. */
    public ChangeReport call() {
        return mClient.get(
                "/v1/firms/" + mFirm.name() + "/changes/" + mChange.name(), ChangeReport.class);
    }
}
