package org.azurearch.fold;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.internal.fold.ThriftBytes;
import org.azurearch.junit.SmallStack;
import org.azurearch.log.LogRecord;
import org.azurearch.thrift.WireChange;
import org.azurearch.thrift.WireDocument;

/** Guards against a change of another writer at which all nodes stop reading the changes. */
class OddChangeTest {
    private static final long[] NUMBERS = {Long.MIN_VALUE, -1, 0, 1, 1L << 40, Long.MAX_VALUE};
    private static final int[] INTEGERS = {Integer.MIN_VALUE, -1, 0, 1, 2, Integer.MAX_VALUE};
    private static final String[] NAMES = {"", "a", "firm", "No Name", "n".repeat(5_000), "\0"};
    private static final String[] TEXTS = {
        "",
        "[".repeat(9_000),
        "{a: ".repeat(9_000),
        "a: 999999999999999999999999999999999999",
        "services:\n  s:\n    port: 99999\n    slots: 4294967297\n",
        "a: &a [x, x]\nb: &b [*a, *a, *a]\nc: [*b, *b, *b]",
        "services: {s: {timeout: 99999999999999999999s}}",
        "\u0000"
    };

    @Property(tries = 2_000, seed = "21")
    void oddChangeIsFoldedAndTheNextOneToo(@ForAll long seed) throws Exception {
        Random random = new Random(seed);
        LogRecord odd = new LogRecord(0, number(random), bytes(change(random)));
        FoldState state = SmallStack.call(() -> applied(Folds.empty(), odd));
        assertEquals(0, state.offset());
        LogRecord unreadable = new LogRecord(1, 1, new byte[] {9});
        assertEquals(1, applied(state, unreadable).offset());
    }

    /** A change that needs the rules of a newer release stops a node until it is updated. */
    private static FoldState applied(FoldState state, LogRecord record) {
        try {
            return state.apply(record);
        } catch (AzurearchException e) {
            assertEquals(ErrorCode.UNKNOWN_RULE_SET, e.code(), e.toString());
            return state.apply(new LogRecord(record.offset(), 0, new byte[] {9}));
        }
    }

    private static WireChange change(Random random) {
        WireChange change =
                new WireChange(
                        name(random),
                        INTEGERS[random.nextInt(INTEGERS.length)],
                        name(random),
                        name(random),
                        random.nextInt(4) > 0 ? 1 : INTEGERS[random.nextInt(INTEGERS.length)],
                        number(random),
                        number(random),
                        NAMES[random.nextInt(NAMES.length)],
                        number(random));
        if (random.nextBoolean()) {
            change.setRemovedOverlays(List.of(name(random), "rennes"));
        }
        for (int i = random.nextInt(4); i > 0; i--) {
            byte[] text = TEXTS[random.nextInt(TEXTS.length)].getBytes(StandardCharsets.UTF_8);
            WireDocument document =
                    new WireDocument(NAMES[random.nextInt(NAMES.length)], ByteBuffer.wrap(text));
            if (random.nextBoolean()) {
                document.setSite(name(random));
            }
            change.addToDocuments(document);
        }
        return change;
    }

    /** Mostly a valid name, so that changes get past the first check. */
    private static String name(Random random) {
        return random.nextInt(6) > 0 ? "firm" : NAMES[random.nextInt(NAMES.length)];
    }

    private static long number(Random random) {
        return NUMBERS[random.nextInt(NUMBERS.length)];
    }

    private static byte[] bytes(WireChange change) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(1); // not compressed
        bytes.writeBytes(ThriftBytes.write(change));
        return bytes.toByteArray();
    }
}
