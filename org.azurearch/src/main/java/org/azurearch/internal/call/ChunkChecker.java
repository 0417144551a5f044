package org.azurearch.internal.call;

import io.netty.buffer.ByteBuf;
import org.jspecify.annotations.Nullable;

/**
 * Checks the framing of a body in chunks by the grammar of RFC 9112, section 7.1, since Netty's
 * decoder accepts more, such as a size with a sign. Scans the framing once and skips the data.
 */
final class ChunkChecker {
    private enum Part {
        SIZE,
        BLANK_BEHIND_SIZE,
        EXTENSION,
        SIZE_END,
        DATA,
        DATA_RETURN,
        DATA_END,
        TRAILERS,
        UNCHECKED
    }

    /** Digits of a size that fits into a long. */
    private static final int MAX_SIZE_DIGITS = 15;

    private static final String MALFORMED_SIZE = "malformed chunk size";
    private static final String MALFORMED_END = "a chunk that does not end with CRLF";

    private final HeadChecker mTrailers = new HeadChecker(HeadChecker.Kind.TRAILERS);
    private Part mPart = Part.UNCHECKED;
    private int mScannedBytes;
    private long mSize;
    private int mDigits;

    /**
     * Begins a body.
     *
     * @param chunked whether it comes in chunks; nothing of another one is checked
     */
    void begin(boolean chunked) {
        mPart = chunked ? Part.SIZE : Part.UNCHECKED;
        mScannedBytes = 0;
        mSize = 0;
        mDigits = 0;
        mTrailers.reset();
    }

    /**
     * Scans the bytes of the body that have arrived since the last scan.
     *
     * @param unread the bytes that the decoder has not consumed
     * @return what is wrong with the framing, or null if nothing is so far
     */
    @Nullable String problem(ByteBuf unread) {
        String problem = null;
        int readable = unread.readableBytes();
        while (problem == null && mScannedBytes < readable && mPart != Part.UNCHECKED) {
            if (mPart == Part.TRAILERS) {
                return mTrailers.problem(unread);
            } else if (mPart == Part.DATA) {
                skipData(readable);
            } else {
                problem = advance(unread.getByte(unread.readerIndex() + mScannedBytes) & 0xff);
                mScannedBytes++;
            }
            if (mPart == Part.TRAILERS) {
                mTrailers.skip(mScannedBytes);
            }
        }
        return problem;
    }

    /** Adjusts the scan position after the decoder has consumed bytes. */
    void consumed(int bytes) {
        mScannedBytes = Math.max(0, mScannedBytes - bytes);
        mTrailers.consumed(bytes);
    }

    private void skipData(int readable) {
        int skipped = (int) Math.min(mSize, readable - mScannedBytes);
        mScannedBytes += skipped;
        mSize -= skipped;
        mPart = mSize == 0 ? Part.DATA_RETURN : Part.DATA;
    }

    private @Nullable String advance(int next) {
        return switch (mPart) {
            case SIZE -> size(next);
            case BLANK_BEHIND_SIZE -> blankBehindSize(next);
            case EXTENSION -> extension(next);
            case SIZE_END -> sizeEnd(next);
            case DATA_RETURN -> expect(next, '\r', Part.DATA_END);
            default -> expect(next, '\n', Part.SIZE);
        };
    }

    private @Nullable String size(int next) {
        int digit = Character.digit(next, 16);
        if (digit >= 0 && next < 0x80) {
            mSize = 16 * mSize + digit;
            mDigits++;
            return mDigits > MAX_SIZE_DIGITS ? MALFORMED_SIZE : null;
        }
        return mDigits == 0 ? MALFORMED_SIZE : behindSize(next);
    }

    private @Nullable String behindSize(int next) {
        switch (next) {
            case '\r' -> mPart = Part.SIZE_END;
            case ';' -> mPart = Part.EXTENSION;
            case ' ', '\t' -> mPart = Part.BLANK_BEHIND_SIZE;
            default -> {
                return MALFORMED_SIZE;
            }
        }
        return null;
    }

    /** Blanks may only precede an extension. */
    private @Nullable String blankBehindSize(int next) {
        return next == '\r' ? MALFORMED_SIZE : behindSize(next);
    }

    private @Nullable String extension(int next) {
        if (next == '\r') {
            mPart = Part.SIZE_END;
            return null;
        }
        return HeadChecker.isText(next) ? null : "malformed chunk extension";
    }

    private @Nullable String sizeEnd(int next) {
        mDigits = 0;
        return expect(next, '\n', mSize == 0 ? Part.TRAILERS : Part.DATA);
    }

    private @Nullable String expect(int next, int expected, Part part) {
        mPart = part;
        return next == expected ? null : MALFORMED_END;
    }
}
