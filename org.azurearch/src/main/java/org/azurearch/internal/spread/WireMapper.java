package org.azurearch.internal.spread;

import java.nio.ByteBuffer;
import java.util.List;
import org.azurearch.lib.Digest;
import org.azurearch.lib.NodeId;
import org.azurearch.spread.Position;
import org.azurearch.thrift.WireDelta;
import org.azurearch.thrift.WireManifest;
import org.azurearch.thrift.WirePosition;

/** Converts between Thrift messages and the types of this package. */
final class WireMapper {
    private WireMapper() {}

    static WirePosition position(Position position) {
        return new WirePosition(position.offset(), buffer(position.digest()));
    }

    static Position position(WirePosition wire) {
        return new Position(wire.getOffset(), Digest.fromBytes(wire.getDigest()));
    }

    static WireDelta delta(Delta delta) {
        return new WireDelta(
                position(delta.base()), position(delta.target()), ByteBuffer.wrap(delta.payload()));
    }

    static Delta delta(WireDelta wire) {
        return new Delta(position(wire.getBase()), position(wire.getTarget()), wire.getPayload());
    }

    static WireManifest manifest(Manifest manifest) {
        return new WireManifest(
                position(manifest.position()),
                manifest.chunks().stream().map(WireMapper::buffer).toList(),
                manifest.totalBytes());
    }

    static Manifest manifest(WireManifest wire) {
        List<Digest> chunks = wire.getChunks().stream().map(WireMapper::digest).toList();
        return new Manifest(position(wire.getPosition()), chunks, wire.getTotalBytes());
    }

    static List<String> nodeNames(List<NodeId> nodes) {
        return nodes.stream().map(NodeId::name).toList();
    }

    static ByteBuffer buffer(Digest digest) {
        return ByteBuffer.wrap(digest.bytes());
    }

    static Digest digest(ByteBuffer buffer) {
        byte[] bytes = new byte[buffer.remaining()];
        buffer.duplicate().get(bytes);
        return Digest.fromBytes(bytes);
    }
}
