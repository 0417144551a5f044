package org.azurearch.internal.spread;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.fold.FoldState;
import org.azurearch.lib.Digest;
import org.azurearch.spread.Position;

/**
 * An encoded state split into content-addressed chunks.
 *
 * @param manifest the list of chunks
 * @param chunks the content by digest, in the order of the manifest
 */
record SnapshotImage(Manifest manifest, Map<Digest, byte[]> chunks) {
    /** Encodes a state and splits it into chunks. */
    static SnapshotImage of(FoldState state, FoldFormat format) {
        byte[] bytes = format.encodeState(state);
        Map<Digest, byte[]> chunks = new LinkedHashMap<>();
        List<Digest> order = new ArrayList<>();
        for (int at = 0; at < bytes.length; at += SnapshotRecords.CHUNK_BYTES) {
            int end = Math.min(bytes.length, at + SnapshotRecords.CHUNK_BYTES);
            byte[] content = Arrays.copyOfRange(bytes, at, end);
            Digest digest = Digest.of(content);
            chunks.put(digest, content);
            order.add(digest);
        }
        return new SnapshotImage(new Manifest(Position.of(state), order, bytes.length), chunks);
    }

    /**
     * Joins the chunks and decodes the state.
     *
     * @throws AzurearchException with {@code CORRUPT} if the result does not match the manifest, or
     *     with {@code UNKNOWN_RULE_SET}
     */
    static FoldState assemble(Manifest manifest, Map<Digest, byte[]> chunks, FoldFormat format) {
        long size = 0;
        for (Digest digest : manifest.chunks()) {
            size += content(chunks, digest).length;
        }
        if (size != manifest.totalBytes() || size > Integer.MAX_VALUE) {
            throw new AzurearchException(
                    ErrorCode.CORRUPT, "invalid snapshot size of " + size + " bytes");
        }
        byte[] bytes = new byte[(int) size];
        int at = 0;
        for (Digest digest : manifest.chunks()) {
            byte[] content = content(chunks, digest);
            System.arraycopy(content, 0, bytes, at, content.length);
            at += content.length;
        }
        FoldState state = format.decodeState(bytes);
        if (!Position.of(state).equals(manifest.position())) {
            throw new AzurearchException(
                    ErrorCode.CORRUPT,
                    "snapshot does not match its manifest; it is at " + Position.of(state));
        }
        return state;
    }

    private static byte[] content(Map<Digest, byte[]> chunks, Digest digest) {
        byte[] content = chunks.get(digest);
        if (content == null) {
            throw new AzurearchException(ErrorCode.CORRUPT, "chunk " + digest + " is missing");
        }
        return content;
    }
}
