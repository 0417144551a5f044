package org.azurearch.sidecar.config;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.zip.CRC32;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;

/**
 * A compressed patch between two versions of a configuration. One change of a large configuration
 * takes a few hundred bytes instead of a few hundred kilobytes, which the slowest links would need
 * seconds to transfer.
 *
 * <p>Both versions are split after each closing brace. The patch is a sequence of steps that either
 * copy a range of the older version or insert literal bytes. It ends with a checksum of the newer
 * version.
 */
public final class ContentPatch {
    private static final byte PIECE_END = '}';
    private static final int COPY = 0;
    private static final int LITERAL = 1;
    private static final int END = 2;

    /** The largest content accepted; a patch that gives more is damaged. */
    private static final int MAX_CONTENT_BYTES = 64 * 1024 * 1024;

    private final byte[] mOld;
    private final byte[] mNew;
    private final ByteArrayOutputStream mBytes = new ByteArrayOutputStream();
    private final DataOutputStream mOut = new DataOutputStream(new DeflaterOutputStream(mBytes));

    private ContentPatch(byte[] oldContent, byte[] newContent) {
        mOld = oldContent;
        mNew = newContent;
    }

    /**
     * Returns the patch that turns one content into another.
     *
     * @param oldContent the older content; empty for a patch that contains the whole newer content
     * @param newContent the newer content
     */
    public static byte[] between(byte[] oldContent, byte[] newContent) {
        try {
            return new ContentPatch(oldContent, newContent).encode();
        } catch (IOException e) {
            throw new AzurearchException(ErrorCode.INTERNAL, "patch cannot be written", e);
        }
    }

    /**
     * Applies a patch and returns the newer content.
     *
     * @param oldContent the older content that the patch was made from
     * @param patch the patch
     * @throws AzurearchException if the patch is damaged or was made from another content
     */
    public static byte[] apply(byte[] oldContent, byte[] patch) {
        ByteArrayOutputStream content = new ByteArrayOutputStream();
        try (DataInputStream in =
                new DataInputStream(new InflaterInputStream(new ByteArrayInputStream(patch)))) {
            for (int step = in.readByte(); step != END; step = in.readByte()) {
                if (step == COPY) {
                    int from = in.readInt();
                    content.write(oldContent, from, checkedLength(content, in.readInt()));
                } else {
                    content.write(in.readNBytes(checkedLength(content, in.readInt())));
                }
            }
            byte[] whole = content.toByteArray();
            if (in.readLong() != checksum(whole)) {
                throw new AzurearchException(
                        ErrorCode.CORRUPT, "checksum mismatch: the patch is for another content");
            }
            return whole;
        } catch (IOException | IndexOutOfBoundsException e) {
            throw new AzurearchException(ErrorCode.CORRUPT, "patch is damaged", e);
        }
    }

    private static int checkedLength(ByteArrayOutputStream content, int length) {
        if (length < 0 || length > MAX_CONTENT_BYTES - content.size()) {
            throw new AzurearchException(
                    ErrorCode.CORRUPT, "content of the patch exceeds the size limit");
        }
        return length;
    }

    private byte[] encode() throws IOException {
        Map<ByteBuffer, Integer> oldPieces = indexOldPieces();
        int copyFrom = 0;
        int copyLength = 0;
        int literalFrom = 0;
        int at = 0;
        while (at < mNew.length) {
            int end = endOfPiece(mNew, at);
            int from = findPiece(oldPieces, at, end, copyFrom + copyLength);
            boolean continues = copyLength > 0 && from == copyFrom + copyLength;
            if (!continues) {
                writeCopy(copyFrom, copyLength);
                copyLength = 0;
            }
            if (from >= 0) {
                writeLiteral(literalFrom, at);
                copyFrom = continues ? copyFrom : from;
                copyLength += end - at;
                literalFrom = end;
            }
            at = end;
        }
        writeCopy(copyFrom, copyLength);
        writeLiteral(literalFrom, mNew.length);
        mOut.writeByte(END);
        mOut.writeLong(checksum(mNew));
        mOut.close();
        return mBytes.toByteArray();
    }

    /** Returns the offset of each piece of the older content. */
    private Map<ByteBuffer, Integer> indexOldPieces() {
        Map<ByteBuffer, Integer> pieces = new HashMap<>();
        int at = 0;
        while (at < mOld.length) {
            int end = endOfPiece(mOld, at);
            pieces.putIfAbsent(ByteBuffer.wrap(mOld, at, end - at), at);
            at = end;
        }
        return pieces;
    }

    /** Returns the offset of a piece in the older content, preferably the expected one, or -1. */
    private int findPiece(Map<ByteBuffer, Integer> oldPieces, int at, int end, int expected) {
        ByteBuffer piece = ByteBuffer.wrap(mNew, at, end - at);
        if (expected + end - at <= mOld.length
                && piece.equals(ByteBuffer.wrap(mOld, expected, end - at))) {
            return expected;
        }
        return oldPieces.getOrDefault(piece, -1);
    }

    private void writeCopy(int from, int length) throws IOException {
        if (length > 0) {
            mOut.writeByte(COPY);
            mOut.writeInt(from);
            mOut.writeInt(length);
        }
    }

    private void writeLiteral(int from, int end) throws IOException {
        if (end > from) {
            mOut.writeByte(LITERAL);
            mOut.writeInt(end - from);
            mOut.write(mNew, from, end - from);
        }
    }

    private static int endOfPiece(byte[] content, int at) {
        int end = at;
        while (end < content.length && content[end] != PIECE_END) {
            end++;
        }
        return Math.min(content.length, end + 1);
    }

    private static long checksum(byte[] content) {
        CRC32 checksum = new CRC32();
        checksum.update(content);
        return checksum.getValue();
    }
}
