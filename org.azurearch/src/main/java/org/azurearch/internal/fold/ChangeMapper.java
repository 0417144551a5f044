package org.azurearch.internal.fold;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.fold.Change;
import org.azurearch.fold.Document;
import org.azurearch.fold.DocumentName;
import org.azurearch.lib.ChangeId;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.OperatorId;
import org.azurearch.lib.SiteId;
import org.azurearch.thrift.WireChange;
import org.azurearch.thrift.WireDocument;

/** Converts changes between their typed and their Thrift form. */
final class ChangeMapper {
    private static final Change.Kind[] KINDS = Change.Kind.values();

    private ChangeMapper() {}

    /** Returns the Thrift form. */
    static WireChange toWire(Change change) {
        WireChange wire = new WireChange();
        wire.setId(change.id().name());
        wire.setKind(change.kind().ordinal());
        wire.setFirm(change.firm().name());
        wire.setOperatorId(change.operator().name());
        wire.setRuleSet(change.ruleSet());
        wire.setExpectedVersion(change.expectedVersion());
        for (Document document : change.documents()) {
            wire.addToDocuments(toWire(document));
        }
        change.removedOverlays().forEach(site -> wire.addToRemovedOverlays(site.name()));
        wire.setUndoTo(change.undoTo());
        wire.setNote(change.note());
        wire.setCreatedAtMillis(change.createdAtMillis());
        return wire;
    }

    /**
     * Returns the typed form.
     *
     * @throws AzurearchException with {@link ErrorCode#BAD_NAME} when a name is malformed, {@link
     *     ErrorCode#CORRUPT} when the kind is unknown
     */
    static Change fromWire(WireChange wire) {
        if (wire.getKind() < 0 || wire.getKind() >= KINDS.length) {
            throw new AzurearchException(ErrorCode.CORRUPT, "unknown kind " + wire.getKind());
        }
        List<Document> documents = new ArrayList<>();
        for (int i = 0; i < wire.getDocumentsSize(); i++) {
            documents.add(fromWire(wire.getDocuments().get(i)));
        }
        List<SiteId> removed = new ArrayList<>();
        for (int i = 0; i < wire.getRemovedOverlaysSize(); i++) {
            removed.add(SiteId.fromString(wire.getRemovedOverlays().get(i)));
        }
        return new Change(
                ChangeId.fromString(wire.getId()),
                KINDS[wire.getKind()],
                FirmId.fromString(wire.getFirm()),
                OperatorId.fromString(wire.getOperatorId()),
                wire.getRuleSet(),
                wire.getExpectedVersion(),
                documents,
                removed,
                wire.getUndoTo(),
                wire.getNote(),
                wire.getCreatedAtMillis());
    }

    private static WireDocument toWire(Document document) {
        WireDocument wire = new WireDocument();
        document.name().overlaySite().ifPresent(site -> wire.setSite(site.name()));
        wire.setFile(document.file());
        wire.setText(ByteBuffer.wrap(document.text()));
        return wire;
    }

    private static Document fromWire(WireDocument wire) {
        DocumentName name =
                wire.isSetSite()
                        ? DocumentName.overlay(SiteId.fromString(wire.getSite()))
                        : DocumentName.BASE;
        return Document.of(name, wire.getFile(), wire.getText());
    }
}
