package org.azurearch.internal.transport;

import java.nio.ByteBuffer;
import java.util.Arrays;
import org.apache.thrift.TApplicationException;
import org.apache.thrift.TBase;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializable;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TMessageType;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.transport.TMemoryBuffer;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.internal.fold.ThriftBytes;
import org.azurearch.thrift.Peer;
import org.azurearch.thrift.PeerReply;
import org.azurearch.thrift.PeerRequest;
import org.jspecify.annotations.Nullable;

/** Encodes and decodes the messages of the Thrift service, and their content, in compact form. */
final class ThriftCodec {
    /** The only method of the service. */
    private static final String EXCHANGE = "exchange";

    private static final int INITIAL_BYTES = 256;

    private final int mMaxBytes;

    /**
     * Creates a codec.
     *
     * @param maxBytes the maximum size of a message when decoding
     */
    ThriftCodec(int maxBytes) {
        mMaxBytes = maxBytes;
    }

    /**
     * A message of the Thrift service.
     *
     * @param sequence matches a reply to its call on a connection
     * @param type the type, see {@link TMessageType}
     * @param sealed the sealed content; empty if the message is an exception
     */
    record Envelope(int sequence, byte type, byte[] sealed) {}

    byte[] encodeCall(int sequence, byte[] sealed) {
        return encode(sequence, TMessageType.CALL, new Peer.exchange_args(ByteBuffer.wrap(sealed)));
    }

    byte[] encodeReply(int sequence, byte[] sealed) {
        Peer.exchange_result result = new Peer.exchange_result();
        result.setSuccess(sealed);
        return encode(sequence, TMessageType.REPLY, result);
    }

    /** Decodes a call or a reply; an exception is accepted in place of either. */
    Envelope decode(byte[] bytes, boolean isCall) {
        checkSize(bytes);
        TProtocol protocol = ThriftBytes.reader(bytes);
        try {
            TMessage message = protocol.readMessageBegin();
            if (!EXCHANGE.equals(message.name)) {
                throw corrupt("unknown method", null);
            }
            return new Envelope(
                    message.seqid, message.type, readContent(message, isCall, protocol));
        } catch (TException | IndexOutOfBoundsException | NegativeArraySizeException e) {
            throw corrupt("malformed message", e);
        }
    }

    /** Encodes the unsealed exception sent for a call that failed authentication. */
    byte[] encodeRefusal(int sequence) {
        TApplicationException refusal =
                new TApplicationException(TApplicationException.PROTOCOL_ERROR, "unauthenticated");
        return encode(sequence, TMessageType.EXCEPTION, refusal);
    }

    byte[] encode(TBase<?, ?> struct) {
        try {
            TMemoryBuffer buffer = new TMemoryBuffer(INITIAL_BYTES);
            struct.write(new TCompactProtocol(buffer));
            return bytesOf(buffer);
        } catch (TException e) {
            throw corrupt("cannot encode", e);
        }
    }

    PeerRequest decodeRequest(byte[] bytes) {
        PeerRequest request = new PeerRequest();
        read(request, bytes);
        if (!request.isSet()) {
            throw corrupt("empty request", null);
        }
        return request;
    }

    PeerReply decodeReply(byte[] bytes) {
        PeerReply reply = new PeerReply();
        read(reply, bytes);
        if (!reply.isSet()) {
            throw corrupt("empty reply", null);
        }
        return reply;
    }

    private void read(TBase<?, ?> struct, byte[] bytes) {
        checkSize(bytes);
        ThriftBytes.read(struct, bytes);
    }

    private static byte[] readContent(TMessage message, boolean isCall, TProtocol protocol)
            throws TException {
        if (message.type == TMessageType.EXCEPTION) {
            return new byte[0];
        }
        return isCall ? readCall(protocol) : readReply(protocol);
    }

    private static byte[] readCall(TProtocol protocol) throws TException {
        Peer.exchange_args arguments = new Peer.exchange_args();
        arguments.read(protocol);
        return arguments.isSetSealed() ? arguments.getSealed() : new byte[0];
    }

    private static byte[] readReply(TProtocol protocol) throws TException {
        Peer.exchange_result result = new Peer.exchange_result();
        result.read(protocol);
        return result.isSetSuccess() ? result.getSuccess() : new byte[0];
    }

    private static byte[] encode(int sequence, byte type, TSerializable struct) {
        try {
            TMemoryBuffer buffer = new TMemoryBuffer(INITIAL_BYTES);
            TProtocol protocol = new TCompactProtocol(buffer);
            protocol.writeMessageBegin(new TMessage(EXCHANGE, type, sequence));
            struct.write(protocol);
            protocol.writeMessageEnd();
            return bytesOf(buffer);
        } catch (TException e) {
            throw corrupt("cannot encode", e);
        }
    }

    private void checkSize(byte[] bytes) {
        if (bytes.length > mMaxBytes) {
            throw corrupt("message too large", null);
        }
    }

    private static byte[] bytesOf(TMemoryBuffer buffer) {
        return Arrays.copyOf(buffer.getArray(), buffer.length());
    }

    private static AzurearchException corrupt(String message, @Nullable Throwable cause) {
        return new AzurearchException(ErrorCode.CORRUPT, message, cause);
    }
}
