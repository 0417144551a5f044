package org.azurearch.internal.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.junit.SmallStack;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;

/** Guards against deeply nested bytes, also of unauthenticated peers, that overflow the stack. */
class ThriftCodecTest {
    private static final int MAX_BYTES = 65_536;
    private static final byte NESTED_STRUCT = 0x1c;

    private final ThriftCodec mCodec = new ThriftCodec(MAX_BYTES);

    @Test
    void deeplyNestedMessageIsRefused() throws Exception {
        byte[] whole = mCodec.encodeCall(7, new byte[] {1});
        byte[] nested = Arrays.copyOf(whole, MAX_BYTES);
        int arguments = whole.length - 4; // the field's type, its length, a byte and the end
        Arrays.fill(nested, arguments, nested.length, NESTED_STRUCT);
        assertCorrupt(() -> mCodec.decode(nested, true));
        assertCorrupt(() -> mCodec.decode(nested, false));
    }

    @Test
    void deeplyNestedRequestAndReplyAreRefused() throws Exception {
        byte[] nested = new byte[MAX_BYTES];
        Arrays.fill(nested, NESTED_STRUCT);
        assertCorrupt(() -> mCodec.decodeRequest(nested));
        assertCorrupt(() -> mCodec.decodeReply(nested));
    }

    @Test
    void messageAboveTheLimitIsRefused() throws Exception {
        assertCorrupt(() -> mCodec.decodeRequest(new byte[MAX_BYTES + 1]));
    }

    private static void assertCorrupt(Executable decoding) throws Exception {
        AzurearchException refusal =
                SmallStack.call(() -> assertThrows(AzurearchException.class, decoding));
        assertEquals(ErrorCode.CORRUPT, refusal.code());
    }
}
