package org.azurearch.internal.fold;

import com.github.luben.zstd.Zstd;
import com.github.luben.zstd.ZstdCompressCtx;
import com.github.luben.zstd.ZstdDecompressCtx;
import com.github.luben.zstd.ZstdException;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;

/** Zstandard compression with a limit on the decompressed size. */
public final class Compression {
    /** A dictionary without content. */
    public static final byte[] NO_DICTIONARY = new byte[0];

    private static final int LEVEL = 6;
    private static final int LONG_WINDOW_LOG = 24;

    private Compression() {}

    /**
     * Compresses bytes.
     *
     * @param bytes the content
     * @param dictionary content that the receiver has too; bytes that repeat it compress well
     */
    public static byte[] compress(byte[] bytes, byte[] dictionary) {
        try (ZstdCompressCtx context = new ZstdCompressCtx()) {
            context.setLevel(LEVEL);
            context.setContentSize(true);
            context.setChecksum(true);
            if (dictionary.length > 0) {
                context.loadDict(dictionary);
            } else {
                context.setLong(LONG_WINDOW_LOG);
            }
            return context.compress(bytes);
        }
    }

    /**
     * Decompresses bytes.
     *
     * @param bytes the result of {@link #compress}
     * @param dictionary the same dictionary
     * @param maxBytes the limit on the decompressed size, in bytes
     * @throws AzurearchException with {@link ErrorCode#CORRUPT} when the bytes are malformed,
     *     {@link ErrorCode#TOO_LARGE} when the decompressed size exceeds the limit
     */
    public static byte[] decompress(byte[] bytes, byte[] dictionary, int maxBytes) {
        try (ZstdDecompressCtx context = new ZstdDecompressCtx()) {
            long size = contentSize(bytes);
            if (size > maxBytes) {
                throw new AzurearchException(
                        ErrorCode.TOO_LARGE,
                        size + " bytes are more than the limit of " + maxBytes);
            }
            if (dictionary.length > 0) {
                context.loadDict(dictionary);
            }
            return context.decompress(bytes, (int) size);
        } catch (ZstdException e) {
            throw new AzurearchException(ErrorCode.CORRUPT, "cannot decompress: " + e, e);
        }
    }

    private static long contentSize(byte[] bytes) {
        long size = bytes.length == 0 ? -1 : Zstd.getFrameContentSize(bytes);
        if (size < 0) {
            throw new AzurearchException(
                    ErrorCode.CORRUPT, "not a compressed frame with a known size");
        }
        return size;
    }
}
