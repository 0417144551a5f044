package org.azurearch.sidecar.internal.hop;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.thrift.HopFrame;

/** Encodes and decodes frames in Thrift's compact protocol. Confined to one event loop. */
final class FrameCodec {
    private final TSerializer mSerializer;
    private final TDeserializer mDeserializer;

    FrameCodec() {
        try {
            mSerializer = new TSerializer(new TCompactProtocol.Factory());
            mDeserializer = new TDeserializer(new TCompactProtocol.Factory());
        } catch (TException e) {
            throw new AzurearchException(ErrorCode.INTERNAL, "cannot create the Thrift codec", e);
        }
    }

    ByteBuf encode(HopFrame frame) {
        try {
            return Unpooled.wrappedBuffer(mSerializer.serialize(frame));
        } catch (TException e) {
            throw new AzurearchException(ErrorCode.INTERNAL, "cannot encode a frame", e);
        }
    }

    HopFrame decode(ByteBuf bytes) {
        HopFrame frame = new HopFrame();
        try {
            mDeserializer.deserialize(frame, ByteBufUtil.getBytes(bytes));
        } catch (TException e) {
            throw new AzurearchException(ErrorCode.CORRUPT, "malformed frame", e);
        }
        return frame;
    }
}
