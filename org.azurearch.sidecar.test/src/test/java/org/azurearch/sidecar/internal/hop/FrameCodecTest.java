package org.azurearch.sidecar.internal.hop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import java.util.Arrays;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.junit.SmallStack;
import org.azurearch.thrift.HopFrame;
import org.azurearch.thrift.WireHopPing;
import org.junit.jupiter.api.Test;

/** Guards against frames of a peer that end the thread which reads all connections. */
class FrameCodecTest {
    private final FrameCodec mCodec = new FrameCodec();

    @Test
    void deeplyNestedFrameIsRefusedAndTheNextOneRead() throws Exception {
        byte[] nested = new byte[60_000];
        Arrays.fill(nested, (byte) 0x1c);
        SmallStack.call(() -> assertCorrupt(nested));
        HopFrame ping = HopFrame.ping(new WireHopPing(true));
        assertTrue(mCodec.decode(mCodec.encode(ping)).getPing().isReply());
    }

    /** A frame of records whose list claims 2^31 - 1 of them. */
    @Test
    void sizeOfListAboveTheFrameIsRefused() {
        int records = HopFrame._Fields.RECORDS.getThriftFieldId();
        assertCorrupt(
                new byte[] {
                    (byte) (records << 4 | 0x0c), 0x19, (byte) 0xfc, -1, -1, -1, -1, 0x07, 0, 0
                });
    }

    private boolean assertCorrupt(byte[] bytes) {
        AzurearchException refusal =
                assertThrows(
                        AzurearchException.class,
                        () -> mCodec.decode(Unpooled.wrappedBuffer(bytes)));
        assertEquals(ErrorCode.CORRUPT, refusal.code());
        return true;
    }
}
