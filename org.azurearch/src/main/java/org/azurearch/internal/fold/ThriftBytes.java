package org.azurearch.internal.fold;

import org.apache.thrift.TBase;
import org.apache.thrift.TConfiguration;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.transport.TMemoryInputTransport;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;

/** Encodes and decodes Thrift messages in the compact protocol, with limits on size and depth. */
public final class ThriftBytes {
    /** The deepest nesting of structs and containers; messages have at most half of it. */
    private static final int MAX_DEPTH = 32;

    private ThriftBytes() {}

    /** Encodes a message. */
    public static byte[] write(TBase<?, ?> message) {
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(message);
        } catch (TException e) {
            throw new AzurearchException(ErrorCode.INTERNAL, "cannot encode: " + e, e);
        }
    }

    /**
     * Decodes a message; no bytes may follow it.
     *
     * @param message receives the decoded fields
     * @param bytes the bytes
     * @throws AzurearchException with {@link ErrorCode#CORRUPT} when they are malformed
     */
    public static <M extends TBase<?, ?>> M read(M message, byte[] bytes) {
        TProtocol protocol = reader(bytes);
        try {
            message.read(protocol);
            if (protocol.getTransport().getBytesRemainingInBuffer() > 0) {
                throw new AzurearchException(
                        ErrorCode.CORRUPT, "unexpected bytes after the message");
            }
            return message;
        } catch (TException | IndexOutOfBoundsException | NegativeArraySizeException e) {
            throw new AzurearchException(ErrorCode.CORRUPT, "malformed message: " + e, e);
        }
    }

    /**
     * Returns a protocol that reads bytes of another writer: nothing in them may claim to be larger
     * than they are, and nesting is limited.
     */
    public static TProtocol reader(byte[] bytes) {
        int size = Math.max(1, bytes.length);
        TConfiguration limits = new TConfiguration(size, size, MAX_DEPTH);
        try {
            return new LimitedCompactProtocol(
                    new TMemoryInputTransport(limits, bytes), size, MAX_DEPTH);
        } catch (TException e) {
            throw new AzurearchException(ErrorCode.CORRUPT, "malformed message: " + e, e);
        }
    }
}
