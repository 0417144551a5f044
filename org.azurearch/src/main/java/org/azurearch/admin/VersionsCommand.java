package org.azurearch.admin;

import org.azurearch.lib.FirmId;

/** Lists the retained decisions on a firm's changes. */
public final class VersionsCommand {
    private final AdminClient mClient;
    private final FirmId mFirm;

    /**
     * Creates a command.
     *
     * @param client the client
     * @param firm the firm
     */
    public VersionsCommand(AdminClient client, FirmId firm) {
        mClient = client;
        mFirm = firm;
    }

    /** Returns the decisions. */
    public VersionsReport call() {
        return mClient.get("/v1/firms/" + mFirm.name() + "/versions", VersionsReport.class);
    }
}
