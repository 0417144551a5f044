package org.azurearch.admin;

import org.azurearch.lib.ChangeId;
import org.azurearch.lib.FirmId;

/** Restores the content of an earlier version as a new version. */
public final class UndoCommand extends ChangeCommand<UndoCommand> {
    private static final long PREVIOUS_VERSION = -1;

    private long mTargetVersion = PREVIOUS_VERSION;

    /**
     * Creates a command.
     *
     * @param client the client
     * @param firm the firm
     */
    public UndoCommand(AdminClient client, FirmId firm) {
        super(client, firm);
    }

    /** Sets the number of the version to restore; by default the one before the current. */
    public UndoCommand setVersion(long version) {
        mTargetVersion = version;
        return this;
    }

    @Override
    void submit(AdminClient client, FirmId firm, ChangeId id, String note) {
        long current = new VersionsCommand(client, firm).call().current();
        long target = mTargetVersion == PREVIOUS_VERSION ? current - 1 : mTargetVersion;
        client.post(
                "/v1/firms/" + firm.name() + "/undo",
                new UndoRequest(id.name(), current, target, note),
                ChangeAppended.class);
    }

    @Override
    UndoCommand self() {
        return this;
    }
}
