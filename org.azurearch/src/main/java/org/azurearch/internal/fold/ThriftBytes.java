package org.azurearch.internal.fold;

import org.apache.thrift.TBase;
import org.apache.thrift.TConfiguration;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TMemoryInputTransport;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;

/** Compact Thrift bytes with bounds. */
public final class ThriftBytes {
    private static final int MAX_DEPTH = 16;

    private ThriftBytes() {}

    /** Returns the bytes of a message. */
    public static byte[] write(TBase<?, ?> message) {
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(message);
        } catch (TException e) {
            throw new AzurearchException(ErrorCode.INTERNAL, "cannot encode: " + e, e);
        }
    }

    /**
     * Reads a message that must take up all of the bytes.
     *
     * @param message filled with what was read
     * @param bytes the bytes
     * @throws AzurearchException with {@link ErrorCode#CORRUPT} when they are malformed
     */
    public static <M extends TBase<?, ?>> M read(M message, byte[] bytes) {
        int size = Math.max(1, bytes.length);
        TConfiguration limits = new TConfiguration(size, size, MAX_DEPTH);
        try {
            TMemoryInputTransport input = new TMemoryInputTransport(limits, bytes);
            message.read(new TCompactProtocol(input, size, size));
            if (input.getBytesRemainingInBuffer() > 0) {
                throw new AzurearchException(ErrorCode.CORRUPT, "bytes left after the message");
            }
            return message;
        } catch (TException | IndexOutOfBoundsException | NegativeArraySizeException e) {
            throw new AzurearchException(ErrorCode.CORRUPT, "malformed message: " + e, e);
        }
    }
}
