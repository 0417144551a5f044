package org.azurearch.admin;

/** Lists the nodes known to a node. */
public final class MembersCommand {
    private final AdminClient mClient;

    /** Creates a command. */
    public MembersCommand(AdminClient client) {
        mClient = client;
    }

    /** Returns the nodes. */
    public MembersReport call() {
        return mClient.get("/v1/members", MembersReport.class);
    }
}
