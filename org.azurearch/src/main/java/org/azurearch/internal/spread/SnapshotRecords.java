package org.azurearch.internal.spread;

import com.github.luben.zstd.Zstd;
import com.github.luben.zstd.ZstdException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.lib.Digest;
import org.azurearch.spread.Position;
import org.jspecify.annotations.Nullable;

/** Codec for the records of the snapshot stream: chunks, then the manifest that lists them. */
final class SnapshotRecords {
    /** The maximum size of a chunk's content, in bytes. */
    static final int CHUNK_BYTES = 256 << 10;

    private static final byte CHUNK = 1;
    private static final byte MANIFEST = 2;
    private static final int MAX_CHUNKS = 4096;
    private static final int COMPRESSION_LEVEL = 3;

    /** A parsed record of the snapshot stream. */
    sealed interface Parsed {
        /** A chunk; its content matches the digest. */
        record ChunkRecord(Digest digest, byte[] content) implements Parsed {}

        /** A manifest. */
        record ManifestRecord(Manifest manifest) implements Parsed {}
    }

    private SnapshotRecords() {}

    /** Compresses the content of a chunk and prefixes its uncompressed length. */
    static byte[] compress(byte[] content, int level) {
        byte[] packed = Zstd.compress(content, level);
        return ByteBuffer.allocate(Integer.BYTES + packed.length)
                .putInt(content.length)
                .put(packed)
                .array();
    }

    /**
     * Decompresses the content of a chunk.
     *
     * @throws AzurearchException with {@code CORRUPT} if it does not match the digest
     */
    static byte[] decompress(Digest digest, byte[] compressed) {
        byte[] content = null;
        try {
            ByteBuffer buffer = ByteBuffer.wrap(compressed);
            int length = buffer.getInt();
            if (length >= 0 && length <= CHUNK_BYTES) {
                byte[] packed = new byte[buffer.remaining()];
                buffer.get(packed);
                content = Zstd.decompress(packed, length);
            }
        } catch (BufferUnderflowException | ZstdException e) {
            throw new AzurearchException(ErrorCode.CORRUPT, "cannot decompress chunk " + digest, e);
        }
        if (content == null || !Digest.of(content).equals(digest)) {
            throw new AzurearchException(ErrorCode.CORRUPT, "invalid content of chunk " + digest);
        }
        return content;
    }

    /** Encodes a chunk as a record. */
    static byte[] encodeChunk(Digest digest, byte[] content) {
        byte[] packed = compress(content, COMPRESSION_LEVEL);
        return ByteBuffer.allocate(1 + Digest.LENGTH_BYTES + packed.length)
                .put(CHUNK)
                .put(digest.bytes())
                .put(packed)
                .array();
    }

    /** Encodes a manifest as a record. */
    static byte[] encodeManifest(Manifest manifest) {
        int header = 1 + Long.BYTES + Digest.LENGTH_BYTES + Long.BYTES + Integer.BYTES;
        ByteBuffer buffer =
                ByteBuffer.allocate(header + manifest.chunks().size() * Digest.LENGTH_BYTES);
        buffer.put(MANIFEST);
        buffer.putLong(manifest.position().offset());
        buffer.put(manifest.position().digest().bytes());
        buffer.putLong(manifest.totalBytes());
        buffer.putInt(manifest.chunks().size());
        manifest.chunks().forEach(digest -> buffer.put(digest.bytes()));
        return buffer.array();
    }

    /** Parses a record; returns null if it is corrupt or of an unknown kind. */
    static @Nullable Parsed parse(byte[] record) {
        try {
            ByteBuffer buffer = ByteBuffer.wrap(record);
            return switch (buffer.get()) {
                case CHUNK -> parseChunk(buffer);
                case MANIFEST -> parseManifest(buffer);
                default -> null;
            };
        } catch (BufferUnderflowException | AzurearchException e) {
            return null;
        }
    }

    private static Parsed parseChunk(ByteBuffer buffer) {
        Digest digest = Digest.fromBuffer(buffer);
        byte[] packed = new byte[buffer.remaining()];
        buffer.get(packed);
        return new Parsed.ChunkRecord(digest, decompress(digest, packed));
    }

    private static @Nullable Parsed parseManifest(ByteBuffer buffer) {
        long offset = buffer.getLong();
        Digest digest = Digest.fromBuffer(buffer);
        long totalBytes = buffer.getLong();
        int count = buffer.getInt();
        if (count < 0 || count > MAX_CHUNKS) {
            return null;
        }
        List<Digest> chunks = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            chunks.add(Digest.fromBuffer(buffer));
        }
        return new Parsed.ManifestRecord(
                new Manifest(new Position(offset, digest), chunks, totalBytes));
    }
}
