package org.azurearch.internal.call;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/**
 * Checks the bytes of a message's head by the grammar of RFC 9112, since Netty's decoder accepts
 * more: it unfolds lines, and takes a line without a colon, or the part of a name before a blank,
 * as a header. Scans each byte once.
 */
final class HeadChecker {
    /** What the head begins with. */
    enum Kind {
        REQUEST,
        ANSWER,
        TRAILERS
    }

    private enum Part {
        BEFORE,
        START_LINE,
        LINE_START,
        NAME,
        VALUE,
        LINE_END,
        HEAD_END,
        ENDED
    }

    /** The start of a status line, before the minor version. */
    private static final byte[] PROTOCOL = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

    /** Places in a status line: the minor version, a blank, the code and a blank. */
    private static final int MINOR_VERSION = PROTOCOL.length;

    private static final int FIRST_DIGIT = MINOR_VERSION + 2;
    private static final int CODE_END = FIRST_DIGIT + 3;

    private static final boolean[] TOKEN = tokenBytes();

    private final Kind mKind;
    private int mScannedBytes;
    private int mLineBytes;
    private int mStatus;
    private Part mPart;

    HeadChecker(Kind kind) {
        mKind = kind;
        mPart = firstPart();
    }

    private Part firstPart() {
        return mKind == Kind.TRAILERS ? Part.LINE_START : Part.BEFORE;
    }

    /** Resets the state for the next head. */
    void reset() {
        mScannedBytes = 0;
        mPart = firstPart();
        mLineBytes = 0;
        mStatus = 0;
    }

    /** Returns whether a part of a head has arrived. */
    boolean withinHead() {
        return mPart != Part.BEFORE && mPart != Part.ENDED;
    }

    /**
     * Scans the bytes of the head that have arrived since the last scan.
     *
     * @param unread the bytes that the decoder has not consumed
     * @return what is wrong with the head, or null if nothing is so far
     */
    @Nullable String problem(ByteBuf unread) {
        int end = unread.writerIndex();
        int at = unread.readerIndex() + mScannedBytes;
        String problem = null;
        for (; at < end && mPart != Part.ENDED && problem == null; at++) {
            problem = advance(unread.getByte(at) & 0xff);
        }
        mScannedBytes = at - unread.readerIndex();
        return problem;
    }

    /** Adjusts the scan position after the decoder has consumed bytes. */
    void consumed(int bytes) {
        mScannedBytes = Math.max(0, mScannedBytes - bytes);
    }

    /** Skips bytes that precede the head. */
    void skip(int bytes) {
        mScannedBytes = bytes;
    }

    private @Nullable String advance(int next) {
        return switch (mPart) {
            case BEFORE -> before(next);
            case START_LINE -> startLine(next);
            case LINE_START -> lineStart(next);
            case NAME -> name(next);
            case VALUE -> value(next);
            case LINE_END -> lineEnd(next, Part.LINE_START);
            default -> lineEnd(next, Part.ENDED);
        };
    }

    private @Nullable String before(int next) {
        boolean blankLine = next == '\r' || next == '\n';
        if (mKind == Kind.REQUEST && blankLine) {
            return null;
        }
        mPart = Part.START_LINE;
        return startLine(next);
    }

    private @Nullable String startLine(int next) {
        boolean ends = next == '\r';
        if (ends) {
            mPart = Part.LINE_END;
        }
        if (mKind == Kind.ANSWER && mLineBytes <= CODE_END) {
            return statusLine(next, mLineBytes++);
        }
        return ends || isText(next) ? null : "a control character in the first line";
    }

    /** Checks a byte of a status line up to the one behind the code. */
    private @Nullable String statusLine(int next, int place) {
        boolean valid;
        if (place < MINOR_VERSION) {
            valid = next == PROTOCOL[place];
        } else if (place == MINOR_VERSION) {
            valid = next == '0' || next == '1';
        } else if (place < FIRST_DIGIT) {
            valid = next == ' ';
        } else if (place < CODE_END) {
            valid = next >= '0' && next <= '9';
            mStatus = 10 * mStatus + next - '0';
        } else {
            valid = (next == ' ' || next == '\r') && AnswerRules.validStatus(mStatus);
        }
        return valid ? null : "not a status line of HTTP/1.1 with a status of 100 to 599";
    }

    private @Nullable String lineStart(int next) {
        if (next == '\r') {
            mPart = Part.HEAD_END;
            return null;
        }
        mPart = Part.NAME;
        if (next == ' ' || next == '\t') {
            return "folded header line";
        }
        return isToken(next) ? null : "a header name that is not a token";
    }

    private @Nullable String name(int next) {
        if (next == ':') {
            mPart = Part.VALUE;
            return null;
        }
        return isToken(next) ? null : "a header name that is not a token";
    }

    private @Nullable String value(int next) {
        if (next == '\r') {
            mPart = Part.LINE_END;
            return null;
        }
        return isText(next) ? null : "a control character in a header value";
    }

    private @Nullable String lineEnd(int next, Part part) {
        mPart = part;
        return next == '\n' ? null : "a line that does not end with CRLF";
    }

    /** Returns whether a byte may be part of a header value or a reason phrase. */
    static boolean isText(int next) {
        return next >= ' ' && next != 0x7f || next == '\t';
    }

    /** Returns whether a byte may be part of a header name. */
    static boolean isToken(int next) {
        return next >= 0 && next < TOKEN.length && TOKEN[next];
    }

    private static boolean[] tokenBytes() {
        boolean[] token = new boolean[256];
        for (int c = '0'; c <= '9'; c++) {
            token[c] = true;
        }
        for (int c = 'a'; c <= 'z'; c++) {
            token[c] = true;
            token[c - 'a' + 'A'] = true;
        }
        for (byte c : "!#$%&'*+-.^_`|~".getBytes(StandardCharsets.US_ASCII)) {
            token[c] = true;
        }
        return token;
    }
}
