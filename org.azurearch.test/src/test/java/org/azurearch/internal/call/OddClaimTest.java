package org.azurearch.internal.call;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.junit.SmallStack;
import org.junit.jupiter.api.Test;

/** Guards against a record or header of another writer that fails with an untyped error. */
class OddClaimTest {
    @Test
    void malformedBatchOfClaimsIsEmpty() throws Exception {
        for (String text :
                new String[] {
                    "",
                    "null",
                    "7",
                    "[]",
                    "{}",
                    "{\"claims\":null}",
                    "{\"claims\":[null]}",
                    "{\"claims\":[{\"key\":\"k\"}]}",
                    "{\"claims\":[7]}",
                    "{\"claims\":" + "[".repeat(60_000),
                    "{\"claims\":[{\"key\":" + "{\"a\":".repeat(60_000),
                    "[".repeat(60_000),
                    "9".repeat(60_000)
                }) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            assertEquals(
                    Optional.empty(),
                    SmallStack.call(() -> ClaimBatch.fromBytes(bytes)),
                    () -> text.substring(0, Math.min(40, text.length())));
        }
    }

    @Property(tries = 2_000)
    void anyHeaderIsReadOrRefusedWithTheTypedError(@ForAll String text) {
        assertReadOrRefused(() -> HopRequest.fromString(text));
        assertReadOrRefused(() -> HomeRequest.fromString(text));
        String numbers = "1;f;s;c;" + "99999999999999999999;".repeat(3) + text;
        assertReadOrRefused(() -> HopRequest.fromString(numbers));
    }

    private static void assertReadOrRefused(Runnable parsing) {
        try {
            parsing.run();
        } catch (AzurearchException e) {
            assertEquals(ErrorCode.BAD_REQUEST, e.code());
        }
    }
}
