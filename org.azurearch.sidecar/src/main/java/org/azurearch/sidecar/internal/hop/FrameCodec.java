package org.azurearch.sidecar.internal.hop;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.internal.fold.ThriftBytes;
import org.azurearch.thrift.HopFrame;

/** Encodes and decodes frames in Thrift's compact protocol. Confined to one event loop. */
final class FrameCodec {
    private final TSerializer mSerializer;
    private final SentFrames mSent = new SentFrames();

    FrameCodec() {
        try {
            mSerializer = new TSerializer(new TCompactProtocol.Factory());
        } catch (TException e) {
            throw new AzurearchException(ErrorCode.INTERNAL, "cannot create the Thrift codec", e);
        }
    }

    /** Returns the counters of the frames that are sent. */
    SentFrames sent() {
        return mSent;
    }

    ByteBuf encode(HopFrame frame) {
        try {
            return Unpooled.wrappedBuffer(mSerializer.serialize(frame));
        } catch (TException e) {
            throw new AzurearchException(ErrorCode.INTERNAL, "cannot encode a frame", e);
        }
    }

    /**
     * Decodes a frame, whose field is not set if a newer node sent a frame of an unknown kind.
     *
     * @throws AzurearchException with {@link ErrorCode#CORRUPT} when it is malformed
     */
    HopFrame decode(ByteBuf bytes) {
        return ThriftBytes.read(new HopFrame(), ByteBufUtil.getBytes(bytes));
    }
}
