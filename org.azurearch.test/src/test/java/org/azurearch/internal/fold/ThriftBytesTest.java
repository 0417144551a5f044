package org.azurearch.internal.fold;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.apache.thrift.TBase;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.junit.SmallStack;
import org.azurearch.thrift.HopFrame;
import org.azurearch.thrift.WireNodeRecords;
import org.azurearch.thrift.WireRecords;
import org.azurearch.thrift.WireState;
import org.junit.jupiter.api.Test;

/** Guards against bytes of another writer that end a reader's thread or exhaust its memory. */
class ThriftBytesTest {
    private static final byte NESTED_STRUCT = 0x1c;
    private static final byte NESTED_LIST = 0x19;

    @Test
    void deeplyNestedUnknownFieldIsRefused() throws Exception {
        byte[] nested = new byte[60_000];
        Arrays.fill(nested, NESTED_STRUCT);
        nested[0] = (byte) 0xfc; // field 15, which the message does not have
        SmallStack.call(() -> assertCorrupt(new HopFrame(), nested));
        SmallStack.call(() -> assertCorrupt(new WireNodeRecords(), nested));
    }

    @Test
    void deeplyNestedUnknownListIsRefused() throws Exception {
        byte[] nested = new byte[60_000];
        Arrays.fill(nested, NESTED_LIST);
        nested[0] = (byte) 0xf9;
        SmallStack.call(() -> assertCorrupt(new WireNodeRecords(), nested));
    }

    /** Field 1 is a list of 2^31 - 1 structs, in nine bytes. */
    @Test
    void sizeOfListAboveTheBytesAtHandIsRefused() {
        byte[] list = {0x19, (byte) 0xfc, -1, -1, -1, -1, 0x07, 0, 0};
        assertCorrupt(new WireNodeRecords(), list);
    }

    @Test
    void lengthOfStringAboveTheBytesAtHandIsRefused() {
        byte[] text = {(byte) 0xf8, -1, -1, -1, -1, 0x07, 'x', 0};
        assertCorrupt(new WireNodeRecords(), text);
    }

    @Property(tries = 3_000)
    void anyBytesAreReadOrRefusedWithTheTypedError(@ForAll @Size(max = 400) byte[] bytes) {
        for (TBase<?, ?> message :
                new TBase<?, ?>[] {
                    new HopFrame(), new WireNodeRecords(), new WireState(), new WireRecords()
                }) {
            try {
                ThriftBytes.read(message, bytes);
            } catch (AzurearchException e) {
                assertEquals(ErrorCode.CORRUPT, e.code());
            }
        }
    }

    private static boolean assertCorrupt(TBase<?, ?> message, byte[] bytes) {
        AzurearchException refusal =
                assertThrows(AzurearchException.class, () -> ThriftBytes.read(message, bytes));
        assertEquals(ErrorCode.CORRUPT, refusal.code());
        return true;
    }
}
