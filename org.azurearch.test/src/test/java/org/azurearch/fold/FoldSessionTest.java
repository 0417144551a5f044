package org.azurearch.fold;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.approvaltests.Approvals;
import org.azurearch.config.SiteConfig;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.errors.Problem;
import org.azurearch.lib.ChangeId;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.OperatorId;
import org.azurearch.lib.SiteId;
import org.azurearch.log.LogRecord;
import org.azurearch.thrift.WireChange;
import org.junit.jupiter.api.Test;

/** Compares the decisions and digests of a session of two operators with approved ones. */
class FoldSessionTest {
    private static final FirmId FIRM = FoldTest.FIRM;
    private static final SiteId RENNES = FoldTest.RENNES;
    private static final SiteId QUIMPER = SiteId.fromString("quimper");
    private static final String LONGER_DEADLINE =
            FoldTest.BASE.replace("deadline: 2s", "deadline: 3s");
    private static final String WITHOUT_STOCK =
            FoldTest.BASE
                    .replace("stock: {slots: 20", "depot: {slots: 20")
                    .replace("service: stock", "service: depot");
    private static final String LONG_QUEUE =
            FoldTest.BASE.replace("{attempts: 2}", "{attempts: 2, queueWait: 5s}");
    private static final String QUIMPER_USES_STOCK =
            """
            azurearch: 1
            kind: overlay
            firm: regie
            site: quimper
            routes:
              prices: {path: /prices, service: stock, class: interactive, policy: read}
            """;

    private FoldState mState = Folds.empty();
    private final StringBuilder mSession = new StringBuilder();

    @Test
    void session() {
        Document base = FoldTest.base(FoldTest.BASE);
        appendHeading("An overlay is published before the base");
        fold(FoldTest.publish("too-early", 0, FoldTest.overlay(RENNES, FoldTest.OVERLAY)));
        appendHeading(
                "The base and an overlay become version 1; a retry after a lost answer is ignored");
        Change first = FoldTest.publish("first", 0, base, overlay(RENNES, FoldTest.OVERLAY));
        fold(first);
        fold(first);
        appendHeading("Two operators change the base of version 1 concurrently");
        fold(FoldTest.publish("ana-slow-reads", 1, FoldTest.base(LONGER_DEADLINE)));
        fold(FoldTest.publish("ben-old-base", 1, base));
        appendHeading("A concurrent change to another document of version 1 does not conflict");
        fold(FoldTest.publish("quimper-prices", 1, overlay(QUIMPER, QUIMPER_USES_STOCK)));
        appendHeading("A base that is valid alone and at Rennes, but not at Quimper, is refused");
        fold(FoldTest.publish("drop-stock", 3, FoldTest.base(WITHOUT_STOCK)));
        appendHeading("The overlay that uses the service is removed in the same change");
        fold(removing("drop-stock-all", 3, QUIMPER, FoldTest.base(WITHOUT_STOCK)));
        appendHeading("Malformed records and a change of an unknown kind are skipped");
        foldMalformed("garbage".getBytes(StandardCharsets.UTF_8));
        foldMalformed(new byte[0]);
        foldMalformed(changeOfUnknownKind("strange"));
        appendHeading("Undo restores version 2 as a new version; unknown versions are refused");
        fold(undo("undo", 4, 2));
        fold(undo("undo-unknown", 5, 77));
        fold(FoldTest.publish("from-the-future", 99, base));
        appendHeading(
                "The rule set is raised by one, and only if all current versions conform to it");
        fold(withRuleSet("asks-for-2", Change.Kind.PUBLISH, 2));
        fold(withRuleSet("raise-to-3", Change.Kind.RAISE_RULE_SET, 3));
        fold(FoldTest.publish("long-queue", 5, FoldTest.base(LONG_QUEUE)));
        fold(withRuleSet("raise-too-soon", Change.Kind.RAISE_RULE_SET, 2));
        fold(undo("undo-long-queue", 6, 5));
        fold(withRuleSet("raise-to-2", Change.Kind.RAISE_RULE_SET, 2));
        fold(FoldTest.publish("long-queue-again", 7, FoldTest.base(LONG_QUEUE)));
        appendHeading("The history, newest first");
        mState.history(FIRM).forEach(outcome -> mSession.append(text(outcome)));
        Approvals.verify(mSession.toString());
    }

    @Test
    void olderReleaseStopsAtAnUnknownRuleSet() {
        fold(FoldTest.publish("first", 0, FoldTest.base(FoldTest.BASE)));
        fold(withRuleSet("raise-to-2", Change.Kind.RAISE_RULE_SET, 2));
        Change next = withRuleSet("raise-to-3", Change.Kind.RAISE_RULE_SET, 3);
        AzurearchException stopped = assertThrows(AzurearchException.class, () -> fold(next));
        assertEquals(ErrorCode.UNKNOWN_RULE_SET, stopped.code());
        assertEquals(1, mState.offset());
        assertEquals(1, mState.configAt(RENNES).firms().get(FIRM).version().number());
    }

    @Test
    void changeDoesNotAffectAnotherFirm() {
        fold(FoldTest.publish("same-id", 0, FoldTest.base(FoldTest.BASE)));
        SiteConfig before = mState.configAt(RENNES).firms().get(FIRM);
        String text = FoldTest.BASE.replace("firm: regie", "firm: korero");
        FirmId other = FirmId.fromString("korero");
        fold(change("same-id", Change.Kind.PUBLISH, other, 0, List.of(FoldTest.base(text))));
        assertEquals(1, mState.version(other).number());
        assertEquals(before, mState.configAt(RENNES).firms().get(FIRM));
    }

    @Test
    void documentOfAnotherFirmIsRefused() {
        String text = FoldTest.BASE.replace("firm: regie", "firm: korero");
        fold(FoldTest.publish("foreign", 0, FoldTest.base(text)));
        ChangeOutcome outcome = mState.history(FIRM).get(0);
        assertEquals(ChangeOutcome.Status.REFUSED_INVALID, outcome.status());
    }

    private void appendHeading(String text) {
        mSession.append("\n# ").append(text).append('\n');
    }

    private void fold(Change change) {
        FoldState before = mState;
        mState = FoldTest.append(mState, change);
        ChangeOutcome outcome = mState.outcome(change.firm(), change.id()).orElseThrow();
        boolean repeated = before.outcome(change.firm(), change.id()).isPresent();
        mSession.append(repeated ? "(again) " : "").append(text(outcome));
        appendState();
    }

    private void foldMalformed(byte[] data) {
        mState = mState.apply(new LogRecord(mState.offset() + 1, 0, data));
        mSession.append("skipped: ").append(mState.skipped()).append('\n');
        appendState();
    }

    private static byte[] changeOfUnknownKind(String id) {
        WireChange wire = new WireChange(id, 9, FIRM.name(), "ben", 1, 4, 0, "", 0);
        try {
            byte[] body = new TSerializer(new TCompactProtocol.Factory()).serialize(wire);
            return ByteBuffer.allocate(body.length + 1).put((byte) 1).put(body).array();
        } catch (TException e) {
            throw new IllegalStateException(e);
        }
    }

    private void appendState() {
        mSession.append("  state ").append(mState.offset()).append(' ').append(mState.digest());
        mSession.append(' ').append(mState.version(FIRM)).append(", rules ");
        mSession.append(mState.ruleSet()).append(", documents ");
        mSession.append(mState.documents(FIRM).stream().map(Document::name).toList()).append('\n');
    }

    private static String text(ChangeOutcome outcome) {
        String problems =
                outcome.problems().stream()
                        .map(Problem::text)
                        .map(text -> "\n    " + text)
                        .collect(Collectors.joining());
        String winner =
                outcome.conflictsWith().map(change -> " conflicts with " + change).orElse("");
        return outcome.change()
                + " "
                + outcome.status()
                + " "
                + outcome.version()
                + winner
                + problems
                + "\n";
    }

    private static Document overlay(SiteId site, String text) {
        return FoldTest.overlay(site, text);
    }

    private static Change removing(String id, long expected, SiteId removed, Document document) {
        Change change = FoldTest.publish(id, expected, document);
        return new Change(
                change.id(),
                change.kind(),
                change.firm(),
                change.operator(),
                change.ruleSet(),
                expected,
                change.documents(),
                List.of(removed),
                0,
                "",
                0);
    }

    private static Change undo(String id, long expected, long to) {
        return new Change(
                ChangeId.fromString(id),
                Change.Kind.UNDO,
                FIRM,
                OperatorId.fromString("ben"),
                1,
                expected,
                List.of(),
                List.of(),
                to,
                "",
                0);
    }

    private Change withRuleSet(String id, Change.Kind kind, int ruleSet) {
        return change(id, kind, FIRM, ruleSet, List.of());
    }

    private Change change(
            String id, Change.Kind kind, FirmId firm, int ruleSet, List<Document> documents) {
        return new Change(
                ChangeId.fromString(id),
                kind,
                firm,
                OperatorId.fromString("ben"),
                ruleSet,
                mState.version(firm).number(),
                documents,
                List.of(),
                0,
                "",
                0);
    }
}
