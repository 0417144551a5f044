package org.azurearch.internal.fold;

import java.nio.ByteBuffer;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.azurearch.config.MeshConfig;
import org.azurearch.config.SiteConfig;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.fold.Change;
import org.azurearch.fold.ChangeOutcome;
import org.azurearch.fold.Document;
import org.azurearch.fold.FoldState;
import org.azurearch.internal.config.RuleSets;
import org.azurearch.lib.ChangeId;
import org.azurearch.lib.Digest;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.SiteId;
import org.azurearch.lib.VersionId;
import org.azurearch.log.LogRecord;
import org.jspecify.annotations.Nullable;

/** The immutable implementation of {@link FoldState}. */
public final class ImmutableFoldState implements FoldState {
    // Codes in the running digest, beside the ordinals of ChangeOutcome.Status.
    private static final byte DUPLICATE_CODE = 100;
    private static final byte SKIPPED_CODE = 101;

    private final long mOffset;
    private final Digest mDigest;
    private final int mRuleSet;
    private final long mSkipped;
    private final SortedMap<FirmId, FirmState> mFirms;

    /**
     * Creates a state.
     *
     * @param offset the offset of the last record folded
     * @param digest the running digest
     * @param ruleSet the rule set in force
     * @param skipped the number of malformed records so far
     * @param firms the states of the firms
     */
    ImmutableFoldState(
            long offset, Digest digest, int ruleSet, long skipped, Map<FirmId, FirmState> firms) {
        mOffset = offset;
        mDigest = digest;
        mRuleSet = ruleSet;
        mSkipped = skipped;
        mFirms = Collections.unmodifiableSortedMap(new TreeMap<>(firms));
    }

    /** Returns the state before the first record. */
    public static ImmutableFoldState empty() {
        return new ImmutableFoldState(-1, Digest.EMPTY, RuleSets.FIRST, 0, Map.of());
    }

    @Override
    public FoldState apply(LogRecord record) {
        if (record.offset() != mOffset + 1) {
            throw new AzurearchException(
                    ErrorCode.CORRUPT,
                    "expected the record at offset "
                            + (mOffset + 1)
                            + ", not at "
                            + record.offset());
        }
        ChangeRecord parsed = ChangeRecord.read(record.data());
        Change change = parsed.change();
        if (change == null) {
            return afterSkipped(record, parsed);
        }
        FirmState firm = mFirms.get(change.firm());
        if (firm == null && mFirms.size() >= FoldLimits.FIRMS) {
            return afterRecord(record, parsed, SKIPPED_CODE, null, mRuleSet, mSkipped + 1);
        }
        FirmState before = firm == null ? FirmState.empty(change.firm()) : firm;
        if (before.outcome(change.id()).isPresent()) {
            return afterRecord(record, parsed, DUPLICATE_CODE, before, mRuleSet, mSkipped);
        }
        Decision decision = new ChangeEvaluator(mFirms, before, change, mRuleSet).evaluate();
        return afterDecision(record, parsed, before, change, decision);
    }

    @Override
    public long offset() {
        return mOffset;
    }

    @Override
    public Digest digest() {
        return mDigest;
    }

    @Override
    public int ruleSet() {
        return mRuleSet;
    }

    @Override
    public long skipped() {
        return mSkipped;
    }

    @Override
    public MeshConfig configAt(SiteId site) {
        Map<FirmId, SiteConfig> configs = new TreeMap<>();
        mFirms.forEach(
                (firm, state) -> {
                    if (state.version().number() > 0) {
                        configs.put(
                                firm, state.content().configAt(site, state.version(), mRuleSet));
                    }
                });
        return new MeshConfig(mOffset, mDigest, site, configs);
    }

    @Override
    public Optional<ChangeOutcome> outcome(FirmId firm, ChangeId change) {
        return Optional.ofNullable(mFirms.get(firm)).flatMap(state -> state.outcome(change));
    }

    @Override
    public List<ChangeOutcome> history(FirmId firm) {
        FirmState state = mFirms.get(firm);
        return state == null ? List.of() : state.outcomes();
    }

    @Override
    public List<FirmId> firms() {
        return List.copyOf(mFirms.keySet());
    }

    @Override
    public VersionId version(FirmId firm) {
        FirmState state = mFirms.get(firm);
        return state == null ? new VersionId(firm, 0) : state.version();
    }

    @Override
    public List<Document> documents(FirmId firm) {
        FirmState state = mFirms.get(firm);
        return state == null ? List.of() : List.copyOf(state.content().documents().values());
    }

    @Override
    public Optional<List<Document>> documents(VersionId version) {
        return Optional.ofNullable(mFirms.get(version.firm()))
                .flatMap(firm -> firm.retainedVersion(version.number()))
                .map(retained -> List.copyOf(retained.documents().values()));
    }

    /** Returns the states of the firms, sorted. */
    SortedMap<FirmId, FirmState> firmStates() {
        return mFirms;
    }

    private FoldState afterSkipped(LogRecord record, ChangeRecord parsed) {
        ChangeRecord.Sender sender = parsed.sender();
        FirmState firm = sender == null ? null : mFirms.get(sender.firm());
        FirmState after = firm;
        if (firm != null && sender != null && firm.outcome(sender.change()).isEmpty()) {
            ChangeOutcome outcome =
                    new ChangeOutcome(
                            sender.change(),
                            sender.firm(),
                            sender.operator(),
                            record.offset(),
                            record.appendedAtMillis(),
                            ChangeOutcome.Status.REFUSED_INVALID,
                            firm.version(),
                            null,
                            List.of(),
                            "");
            after = firm.withOutcome(outcome);
        }
        return afterRecord(record, parsed, SKIPPED_CODE, after, mRuleSet, mSkipped + 1);
    }

    private FoldState afterDecision(
            LogRecord record,
            ChangeRecord parsed,
            FirmState before,
            Change change,
            Decision decision) {
        FirmContent content = decision.content();
        FirmState after =
                content == null
                        ? before
                        : before.withVersion(content, decision.changedDocuments(), change.id());
        int noteChars = Math.min(change.note().length(), FoldLimits.NOTE_CHARS);
        ChangeOutcome outcome =
                new ChangeOutcome(
                        change.id(),
                        change.firm(),
                        change.operator(),
                        record.offset(),
                        record.appendedAtMillis(),
                        decision.status(),
                        after.version(),
                        decision.winner(),
                        decision.problems(),
                        change.note().substring(0, noteChars));
        int ruleSet = decision.ruleSet() > 0 ? decision.ruleSet() : mRuleSet;
        byte code = (byte) decision.status().ordinal();
        return afterRecord(record, parsed, code, after.withOutcome(outcome), ruleSet, mSkipped);
    }

    private FoldState afterRecord(
            LogRecord record,
            ChangeRecord parsed,
            byte decision,
            @Nullable FirmState firm,
            int ruleSet,
            long skipped) {
        Map<FirmId, FirmState> firms = new TreeMap<>(mFirms);
        Digest content = Digest.EMPTY;
        if (firm != null) {
            firms.put(firm.version().firm(), firm);
            content = firm.content().digest();
        }
        byte[] appended =
                ByteBuffer.allocate(Long.BYTES).putLong(record.appendedAtMillis()).array();
        Digest digest =
                Digest.of(
                        mDigest.bytes(),
                        parsed.digest().bytes(),
                        appended,
                        new byte[] {decision},
                        content.bytes());
        return new ImmutableFoldState(record.offset(), digest, ruleSet, skipped, firms);
    }
}
