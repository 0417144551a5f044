package org.azurearch.internal.fold;

import com.github.luben.zstd.Zstd;
import com.github.luben.zstd.ZstdCompressCtx;
import com.github.luben.zstd.ZstdDecompressCtx;
import com.github.luben.zstd.ZstdException;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;

/** Zstandard compression with a bound on what is decompressed. */
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
     * @param dictionary content known to the reader, which costs little when it recurs
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
     * @param bytes what {@link #compress} gave
     * @param dictionary the same dictionary
     * @param maxBytes the most that may come out, in bytes
     * @throws AzurearchException with {@link ErrorCode#CORRUPT} when the bytes are malformed,
     *     {@link ErrorCode#TOO_LARGE} when more would come out
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
            throw new AzurearchException(ErrorCode.CORRUPT, "no compressed frame of known size");
        }
        return size;
    }
}
