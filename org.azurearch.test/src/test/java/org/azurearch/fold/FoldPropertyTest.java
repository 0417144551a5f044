package org.azurearch.fold;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.azurearch.config.MeshConfig;
import org.azurearch.config.RouteConfig;
import org.azurearch.config.SiteConfig;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.lib.ChangeId;
import org.azurearch.lib.OperatorId;
import org.azurearch.lib.SiteId;
import org.azurearch.log.LogRecord;

/** Random sessions: concurrent changes, repeated and malformed records, invalid documents. */
class FoldPropertyTest {
    private static final int RECORDS = 24;
    private static final List<SiteId> SITES =
            List.of(FoldTest.RENNES, SiteId.fromString("quimper"), SiteId.fromString("lamballe"));
    private static final String[] SERVICES = {"stock", "orders", "accounts"};

    @Property(tries = 60, seed = "11")
    void recordsDeltasAndStoredStatesFoldToTheSameState(@ForAll long seed) {
        Random random = new Random(seed);
        List<LogRecord> records = session(random);
        FoldState direct = Folds.empty();
        for (LogRecord record : records) {
            direct = direct.apply(record);
        }
        FoldState viaDeltas = Folds.empty();
        int next = 0;
        while (next < records.size()) {
            int end = next + 1 + random.nextInt(records.size() - next);
            byte[] delta = DeltaCodec.encode(viaDeltas, records.subList(next, end));
            for (LogRecord record : DeltaCodec.decode(viaDeltas, delta)) {
                viaDeltas = viaDeltas.apply(record);
            }
            viaDeltas = StateCodec.decode(StateCodec.encode(viaDeltas));
            next = end;
        }
        assertEquals(direct.digest(), viaDeltas.digest());
        assertEquals(direct.history(FoldTest.FIRM), viaDeltas.history(FoldTest.FIRM));
        assertArrayEquals(StateCodec.encode(direct), StateCodec.encode(viaDeltas));
        for (SiteId site : SITES) {
            assertEquals(direct.configAt(site), viaDeltas.configAt(site));
        }
    }

    @Property(tries = 100, seed = "12")
    void versionsIncreaseByOneAndHaveNoDanglingReferences(@ForAll long seed) {
        FoldState state = Folds.empty();
        for (LogRecord record : session(new Random(seed))) {
            FoldState next = state.apply(record);
            long before = state.version(FoldTest.FIRM).number();
            long after = next.version(FoldTest.FIRM).number();
            assertTrue(after == before || after == before + 1);
            for (SiteId site : SITES) {
                checkSite(state.configAt(site), next.configAt(site), after);
            }
            state = next;
        }
    }

    @Property(tries = 60, seed = "13")
    void publicationIsAtomic(@ForAll long seed) {
        FoldState state = Folds.empty();
        for (LogRecord record : session(new Random(seed))) {
            FoldState next = state.apply(record);
            if (!state.version(FoldTest.FIRM).equals(next.version(FoldTest.FIRM))) {
                Change change = ChangeCodec.decode(record.data());
                for (Document document : change.documents()) {
                    assertTrue(
                            next.documents(FoldTest.FIRM).stream()
                                    .anyMatch(now -> now.digest().equals(document.digest())));
                }
            } else {
                assertEquals(
                        state.documents(FoldTest.FIRM).stream().map(Document::digest).toList(),
                        next.documents(FoldTest.FIRM).stream().map(Document::digest).toList());
            }
            state = next;
        }
    }

    @Property(tries = 300, seed = "14")
    void damagedStatesAndDeltasAreRejectedWithAnErrorCode(@ForAll long seed) {
        Random random = new Random(seed);
        List<LogRecord> records = session(random);
        FoldState base = Folds.empty().apply(records.get(0));
        byte[] state = damaged(random, StateCodec.encode(base));
        byte[] delta = damaged(random, DeltaCodec.encode(base, records.subList(1, 5)));
        assertReadsOrRejects(() -> StateCodec.decode(state));
        assertReadsOrRejects(() -> DeltaCodec.decode(base, delta));
    }

    private static void checkSite(MeshConfig before, MeshConfig after, long version) {
        for (SiteConfig config : after.firms().values()) {
            assertEquals(version, config.version().number());
            for (RouteConfig route : config.routes().values()) {
                assertTrue(config.services().containsKey(route.service()));
                assertTrue(config.classes().containsKey(route.callClass()));
                assertTrue(config.policies().containsKey(route.policy()));
            }
        }
        assertTrue(after.firms().keySet().containsAll(before.firms().keySet()));
    }

    /** Damaged input is rejected with a code, or still readable where no digest covers it. */
    private static void assertReadsOrRejects(Runnable decode) {
        try {
            decode.run();
        } catch (AzurearchException e) {
            assertTrue(
                    List.of(ErrorCode.CORRUPT, ErrorCode.TOO_LARGE, ErrorCode.UNKNOWN_RULE_SET)
                            .contains(e.code()),
                    () -> e.code() + " " + e.getMessage());
        }
    }

    private static byte[] damaged(Random random, byte[] bytes) {
        if (random.nextInt(4) == 0) {
            return java.util.Arrays.copyOf(bytes, random.nextInt(bytes.length));
        }
        byte[] damaged = bytes.clone();
        for (int i = 0; i <= random.nextInt(3); i++) {
            damaged[random.nextInt(damaged.length)] ^= (byte) (1 << random.nextInt(8));
        }
        return damaged;
    }

    private static List<LogRecord> session(Random random) {
        List<LogRecord> records = new ArrayList<>();
        for (int offset = 0; offset < RECORDS; offset++) {
            byte[] data;
            if (offset > 0 && random.nextInt(6) == 0) {
                data = records.get(random.nextInt(offset)).data();
            } else if (random.nextInt(12) == 0) {
                data = new byte[random.nextInt(40)];
                random.nextBytes(data);
            } else {
                data = ChangeCodec.encode(change(random, offset));
            }
            records.add(new LogRecord(offset, 10L * offset, data));
        }
        return records;
    }

    private static Change change(Random random, int offset) {
        long expected = Math.max(0, random.nextInt(offset + 1) - random.nextInt(3));
        Change.Kind kind = random.nextInt(8) == 0 ? Change.Kind.UNDO : Change.Kind.PUBLISH;
        boolean raise = random.nextInt(20) == 0;
        List<Document> documents = new ArrayList<>();
        if (offset < 2 || random.nextInt(2) == 0) {
            documents.add(base(random));
        }
        for (SiteId site : SITES) {
            if (random.nextInt(3) == 0) {
                documents.add(overlay(random, site));
            }
        }
        return new Change(
                ChangeId.fromString("c" + offset),
                raise ? Change.Kind.RAISE_RULE_SET : kind,
                FoldTest.FIRM,
                OperatorId.fromString("ana"),
                raise ? 2 : 1,
                expected,
                kind == Change.Kind.PUBLISH ? documents : List.of(),
                random.nextInt(8) == 0 ? List.of(SITES.get(0)) : List.of(),
                random.nextInt(offset + 1),
                "",
                0);
    }

    private static Document base(Random random) {
        StringBuilder text = new StringBuilder("azurearch: 1\nkind: base\nfirm: regie\n");
        text.append("classes: {a: {priority: ").append(random.nextInt(10)).append("}}\n");
        text.append("policies: {p: {attempts: ").append(1 + random.nextInt(3)).append("}}\n");
        text.append("services:\n");
        for (String service : SERVICES) {
            if (random.nextInt(4) > 0) {
                text.append("  ").append(service).append(": {slots: 2, connections: 3}\n");
            }
        }
        return FoldTest.base(text + "  always: {slots: 1, connections: 1}\n" + routes(random));
    }

    private static Document overlay(Random random, SiteId site) {
        String head = "azurearch: 1\nkind: overlay\nfirm: regie\nsite: " + site + "\n";
        String services = "services: {orders: {slots: 9, connections: 9}}\n";
        return FoldTest.overlay(
                site, head + (random.nextBoolean() ? services : "") + routes(random));
    }

    private static String routes(Random random) {
        String service = random.nextInt(3) > 0 ? "always" : SERVICES[random.nextInt(3)];
        return "routes:\n  r"
                + random.nextInt(3)
                + ": {path: /p"
                + random.nextInt(4)
                + ", service: "
                + service
                + ", class: a, policy: p}\n";
    }
}
