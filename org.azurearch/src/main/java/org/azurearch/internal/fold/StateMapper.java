package org.azurearch.internal.fold;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.fold.ChangeOutcome;
import org.azurearch.fold.Document;
import org.azurearch.fold.DocumentName;
import org.azurearch.lib.ChangeId;
import org.azurearch.lib.Digest;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.SiteId;
import org.azurearch.lib.VersionId;
import org.azurearch.thrift.WireDocumentRef;
import org.azurearch.thrift.WireFirm;
import org.azurearch.thrift.WireState;
import org.azurearch.thrift.WireTouch;
import org.azurearch.thrift.WireVersion;
import org.jspecify.annotations.Nullable;

/**
 * Converts one state between its typed and its Thrift form; each distinct text is stored once. An
 * instance converts a single state.
 */
public final class StateMapper {
    private final List<byte[]> mTexts = new ArrayList<>();
    private final Map<Digest, Integer> mIndexes = new HashMap<>();
    private final Map<DocumentKey, Document> mDocuments = new HashMap<>();

    /** Identifies a document that several versions share. */
    private record DocumentKey(DocumentName name, String file, int text) {}

    /** Returns the Thrift form. */
    public WireState toWire(ImmutableFoldState state) {
        WireState wire = new WireState();
        wire.setOffset(state.offset());
        wire.setDigest(state.digest().bytes());
        wire.setRuleSet(state.ruleSet());
        wire.setSkipped(state.skipped());
        wire.setFirms(state.firmStates().values().stream().map(this::toWire).toList());
        wire.setTexts(mTexts.stream().map(ByteBuffer::wrap).toList());
        return wire;
    }

    /**
     * Returns the typed form.
     *
     * @throws AzurearchException with {@link ErrorCode#CORRUPT} when it is inconsistent
     */
    public ImmutableFoldState fromWire(WireState wire) {
        wire.getTexts().forEach(text -> mTexts.add(bytes(text)));
        try {
            Map<FirmId, FirmState> firms = new TreeMap<>();
            for (WireFirm firm : wire.getFirms()) {
                firms.put(FirmId.fromString(firm.getFirm()), fromWire(firm));
            }
            return new ImmutableFoldState(
                    wire.getOffset(),
                    Digest.fromBytes(wire.getDigest()),
                    wire.getRuleSet(),
                    wire.getSkipped(),
                    firms);
        } catch (AzurearchException | IndexOutOfBoundsException e) {
            throw new AzurearchException(
                    ErrorCode.CORRUPT, "the stored state is inconsistent: " + e, e);
        }
    }

    private WireFirm toWire(FirmState state) {
        WireFirm wire = new WireFirm();
        wire.setFirm(state.version().firm().name());
        wire.setVersion(state.version().number());
        wire.setVersions(state.versions().stream().map(this::toWire).toList());
        wire.setTouches(new ArrayList<>());
        state.lastChanges()
                .forEach(
                        (name, lastChange) -> {
                            WireTouch wireTouch = new WireTouch();
                            name.overlaySite().ifPresent(site -> wireTouch.setSite(site.name()));
                            wireTouch.setVersion(lastChange.version());
                            wireTouch.setChange(lastChange.change().name());
                            wire.addToTouches(wireTouch);
                        });
        wire.setOutcomes(state.outcomes().stream().map(OutcomeMapper::toWire).toList());
        return wire;
    }

    private WireVersion toWire(RetainedVersion version) {
        List<WireDocumentRef> refs = new ArrayList<>();
        for (Document document : version.documents().values()) {
            WireDocumentRef ref = new WireDocumentRef();
            document.name().overlaySite().ifPresent(site -> ref.setSite(site.name()));
            ref.setFile(document.file());
            ref.setText(indexOf(document));
            refs.add(ref);
        }
        return new WireVersion(version.number(), refs);
    }

    private int indexOf(Document document) {
        return mIndexes.computeIfAbsent(
                document.digest(),
                digest -> {
                    mTexts.add(document.text());
                    return mTexts.size() - 1;
                });
    }

    private FirmState fromWire(WireFirm wire) {
        FirmId firm = FirmId.fromString(wire.getFirm());
        List<RetainedVersion> versions = new ArrayList<>();
        for (WireVersion version : wire.getVersions()) {
            versions.add(fromWire(version));
        }
        Map<DocumentName, LastChange> lastChanges = new LinkedHashMap<>();
        for (WireTouch wireTouch : wire.getTouches()) {
            ChangeId change = ChangeId.fromString(wireTouch.getChange());
            lastChanges.put(
                    name(wireTouch.getSite()), new LastChange(wireTouch.getVersion(), change));
        }
        List<ChangeOutcome> outcomes = new ArrayList<>();
        wire.getOutcomes().forEach(outcome -> outcomes.add(OutcomeMapper.fromWire(firm, outcome)));
        VersionId current = new VersionId(firm, wire.getVersion());
        return new FirmState(current, content(current, versions), versions, lastChanges, outcomes);
    }

    private static FirmContent content(VersionId current, List<RetainedVersion> versions) {
        if (current.number() == 0 && versions.isEmpty()) {
            return new FirmContent(current.firm(), Map.of());
        }
        if (versions.isEmpty() || versions.get(0).number() != current.number()) {
            throw new AzurearchException(
                    ErrorCode.CORRUPT, "the current version " + current + " is not stored");
        }
        return new FirmContent(current.firm(), versions.get(0).documents());
    }

    private RetainedVersion fromWire(WireVersion wire) {
        TreeMap<DocumentName, Document> documents = new TreeMap<>();
        for (WireDocumentRef ref : wire.getDocuments()) {
            DocumentName name = name(ref.getSite());
            DocumentKey key = new DocumentKey(name, ref.getFile(), ref.getText());
            Document document = mDocuments.get(key);
            if (document == null) {
                document = Document.of(name, ref.getFile(), mTexts.get(ref.getText()));
                mDocuments.put(key, document);
            }
            documents.put(name, document);
        }
        return new RetainedVersion(wire.getNumber(), documents);
    }

    private static DocumentName name(@Nullable String site) {
        return site == null ? DocumentName.BASE : DocumentName.overlay(SiteId.fromString(site));
    }

    private static byte[] bytes(ByteBuffer buffer) {
        byte[] bytes = new byte[buffer.remaining()];
        buffer.duplicate().get(bytes);
        return bytes;
    }
}
