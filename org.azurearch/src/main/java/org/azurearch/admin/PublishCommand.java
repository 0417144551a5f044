package org.azurearch.admin;

import java.util.ArrayList;
import java.util.List;
import org.azurearch.fold.Document;
import org.azurearch.lib.ChangeId;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.SiteId;

/** Publishes documents of a firm as one change. */
public final class PublishCommand extends ChangeCommand<PublishCommand> {
    private static final long CURRENT_VERSION = -1;

    private final List<DocumentBody> mDocuments = new ArrayList<>();
    private final List<String> mRemovedOverlays = new ArrayList<>();
    private long mExpectedVersion = CURRENT_VERSION;

    /**
     * Creates a command.
     *
     * @param client the client
     * @param firm the firm
     */
    public PublishCommand(AdminClient client, FirmId firm) {
        super(client, firm);
    }

    /** Adds a document that replaces the current one of the same name. */
    public PublishCommand addDocument(Document document) {
        mDocuments.add(DocumentBody.of(document));
        return this;
    }

    /** Removes the overlay of a site. */
    public PublishCommand removeOverlay(SiteId site) {
        mRemovedOverlays.add(site.name());
        return this;
    }

    /** Sets the version that the change is based on; by default the node's current version. */
    public PublishCommand setExpectedVersion(long version) {
        mExpectedVersion = version;
        return this;
    }

    @Override
    void submit(AdminClient client, FirmId firm, ChangeId id, String note) {
        long expected =
                mExpectedVersion == CURRENT_VERSION
                        ? new VersionsCommand(client, firm).call().current()
                        : mExpectedVersion;
        client.post(
                "/v1/firms/" + firm.name() + "/changes",
                new PublishRequest(id.name(), expected, mDocuments, mRemovedOverlays, note),
                ChangeAppended.class);
    }

    @Override
    PublishCommand self() {
        return this;
    }
}
