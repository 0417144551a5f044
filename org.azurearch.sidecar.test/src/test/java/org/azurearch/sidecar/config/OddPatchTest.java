package org.azurearch.sidecar.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.zip.DeflaterOutputStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.junit.jupiter.api.Test;

/** Guards against patches whose lengths lie, which end the connection or exhaust the memory. */
class OddPatchTest {
    private static final int COPY = 0;
    private static final int LITERAL = 1;

    private interface Steps {
        void write(DataOutputStream out) throws IOException;
    }

    @Test
    void lengthsBelowZeroOrBeyondThePatchAreRefused() throws Exception {
        for (int length : new int[] {-1, Integer.MIN_VALUE, Integer.MAX_VALUE, 9}) {
            assertCorrupt(new byte[4], out -> step(out, LITERAL, length));
            assertCorrupt(new byte[4], out -> step(out, COPY, 0, length));
            assertCorrupt(new byte[4], out -> step(out, COPY, length, 1));
        }
    }

    /** Nine bytes copy a mebibyte, so that a small patch grows without end. */
    @Test
    void contentBeyondTheLimitIsRefused() throws Exception {
        byte[] old = new byte[1 << 20];
        AzurearchException refusal =
                assertCorrupt(
                        old,
                        out -> {
                            for (int i = 0; i < 70; i++) {
                                step(out, COPY, 0, old.length);
                            }
                        });
        assertEquals("content of the patch exceeds the size limit", refusal.getMessage());
    }

    @Property(tries = 2_000)
    void anyStepsAreAppliedOrRefusedWithTheTypedError(@ForAll @Size(max = 60) byte[] steps)
            throws Exception {
        assertCorrupt(new byte[100], out -> out.write(steps));
    }

    private static void step(DataOutputStream out, int kind, int... numbers) throws IOException {
        out.writeByte(kind);
        for (int number : numbers) {
            out.writeInt(number);
        }
    }

    private static AzurearchException assertCorrupt(byte[] old, Steps steps) throws IOException {
        ByteArrayOutputStream patch = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(new DeflaterOutputStream(patch))) {
            steps.write(out);
        }
        AzurearchException refusal =
                assertThrows(
                        AzurearchException.class,
                        () -> ContentPatch.apply(old, patch.toByteArray()));
        assertEquals(ErrorCode.CORRUPT, refusal.code());
        return refusal;
    }
}
