package org.azurearch.fold;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.azurearch.config.SiteConfig;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.lib.ChangeId;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.OperatorId;
import org.azurearch.lib.RouteId;
import org.azurearch.lib.SiteId;
import org.azurearch.lib.VersionId;
import org.azurearch.log.LogRecord;
import org.junit.jupiter.api.Test;

class FoldTest {
    static final FirmId FIRM = FirmId.fromString("regie");
    static final SiteId RENNES = SiteId.fromString("rennes");
    static final String BASE =
            """
            azurearch: 1
            kind: base
            firm: regie
            classes: {interactive: {priority: 1}}
            policies: {read: {attempts: 2}}
            services:
              stock: {slots: 20, connections: 100}
            routes:
              check-stock: {path: /stock, methods: [GET], service: stock, class: interactive,
                            policy: read, idempotent: true, deadline: 2s}
            """;
    static final String OVERLAY =
            """
            azurearch: 1
            kind: overlay
            firm: regie
            site: rennes
            routes: {check-stock: {deadline: 1s}}
            """;

    static Change publish(String id, long expected, Document... documents) {
        return new Change(
                ChangeId.fromString(id),
                Change.Kind.PUBLISH,
                FIRM,
                OperatorId.fromString("ana"),
                1,
                expected,
                List.of(documents),
                List.of(),
                0,
                "",
                0);
    }

    static Document base(String text) {
        return Document.of(DocumentName.BASE, "base.yaml", text.getBytes(StandardCharsets.UTF_8));
    }

    static Document overlay(SiteId site, String text) {
        return Document.of(
                DocumentName.overlay(site),
                "overlays/" + site + ".yaml",
                text.getBytes(StandardCharsets.UTF_8));
    }

    static FoldState append(FoldState state, Change change) {
        long offset = state.offset() + 1;
        return state.apply(new LogRecord(offset, offset * 1000, ChangeCodec.encode(change)));
    }

    @Test
    void overlayOverridesTheBase() {
        FoldState state =
                append(Folds.empty(), publish("c1", 0, base(BASE), overlay(RENNES, OVERLAY)));
        SiteConfig config = state.configAt(RENNES).firms().get(FIRM);
        assertEquals(1, config.version().number());
        assertEquals(
                Duration.ofSeconds(1),
                config.routes().get(RouteId.fromString("check-stock")).deadline());
    }

    @Test
    void storedStateIsReadBackAndDamageIsDetected() {
        FoldState state = append(Folds.empty(), publish("c1", 0, base(BASE)));
        state = append(state, publish("c2", 0, base(BASE + "# late\n")));
        byte[] bytes = StateCodec.encode(state);
        FoldState read = StateCodec.decode(bytes);
        assertEquals(state.digest(), read.digest());
        assertEquals(state.history(FIRM), read.history(FIRM));
        assertEquals(state.configAt(RENNES), read.configAt(RENNES));
        bytes[bytes.length - 1] ^= 1;
        assertEquals(
                ErrorCode.CORRUPT,
                assertThrows(AzurearchException.class, () -> StateCodec.decode(bytes)).code());
    }

    @Test
    void deltaOfOneLineIsSmall() {
        StringBuilder large = new StringBuilder(BASE);
        for (int i = 0; i < 2000; i++) {
            large.append("  route-").append(i).append(": {path: /p").append(i * 7919 % 10007);
            large.append(", service: stock, class: interactive, policy: read}\n");
        }
        FoldState state = append(Folds.empty(), publish("c1", 0, base(large.toString())));
        assertEquals(1, state.version(FIRM).number(), () -> state.history(FIRM).toString());
        String changed = large.toString().replace("deadline: 2s", "deadline: 3s");
        LogRecord record = new LogRecord(1, 5, ChangeCodec.encode(publish("c2", 1, base(changed))));
        byte[] delta = DeltaCodec.encode(state, List.of(record));
        assertTrue(delta.length < 200, () -> delta.length + " bytes");
        FoldState direct = state.apply(record);
        FoldState viaDelta = state.apply(DeltaCodec.decode(state, delta).get(0));
        assertEquals(direct.digest(), viaDelta.digest());
    }

    @Test
    void deltaAgainstAnotherStateIsRefused() {
        FoldState one = append(Folds.empty(), publish("c1", 0, base(BASE)));
        FoldState other = append(Folds.empty(), publish("c1", 0, base(BASE.replace("20,", "21,"))));
        LogRecord record = new LogRecord(1, 5, ChangeCodec.encode(publish("c2", 1, base(BASE))));
        byte[] delta = DeltaCodec.encode(one, List.of(record));
        assertEquals(
                ErrorCode.CORRUPT,
                assertThrows(AzurearchException.class, () -> DeltaCodec.decode(other, delta))
                        .code());
    }

    @Test
    void retentionIsBoundedInNumber() {
        FoldState state = Folds.empty();
        for (int i = 0; i < 1_010; i++) {
            String edition = i < 60 ? BASE + "# " + i + "\n" : "kind: none\n";
            state = append(state, publish("c" + i, Math.min(i, 60), base(edition)));
        }
        assertEquals(60, state.version(FIRM).number());
        assertTrue(state.documents(new VersionId(FIRM, 11)).isPresent());
        assertTrue(state.documents(new VersionId(FIRM, 10)).isEmpty());
        assertEquals(1_000, state.history(FIRM).size());
        assertTrue(state.outcome(FIRM, ChangeId.fromString("c9")).isEmpty());
        FoldState late = append(state, publish("c9", 9, base(BASE + "# 9\n")));
        assertEquals(
                ChangeOutcome.Status.REFUSED_CONFLICT,
                late.outcome(FIRM, ChangeId.fromString("c9")).orElseThrow().status());
    }
}
