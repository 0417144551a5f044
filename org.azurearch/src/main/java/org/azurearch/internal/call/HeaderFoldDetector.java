package org.azurearch.internal.call;

import io.netty.buffer.ByteBuf;

/**
 * Looks for folded header lines in the bytes of a head, which the decoder would join without a
 * word. Each byte is looked at once.
 */
final class HeaderFoldDetector {
    private int mScannedBytes;
    private int mLineBytes;
    private boolean mLineSeen;
    private boolean mHeadEnded;

    /** Begins with a new head. */
    void reset() {
        mScannedBytes = 0;
        mLineBytes = 0;
        mLineSeen = false;
        mHeadEnded = false;
    }

    /**
     * Looks at what has arrived of the head since the last time.
     *
     * @param unread the bytes that the decoder has not consumed
     * @return whether a header line begins with a space or a tab
     */
    boolean findsFold(ByteBuf unread) {
        int end = unread.writerIndex();
        int at = unread.readerIndex() + mScannedBytes;
        for (; at < end && !mHeadEnded; at++) {
            byte next = unread.getByte(at);
            if (mLineSeen && mLineBytes == 0 && (next == ' ' || next == '\t')) {
                return true;
            }
            advance(next);
        }
        mScannedBytes = at - unread.readerIndex();
        return false;
    }

    /** Takes note that the decoder has consumed bytes. */
    void consumed(int bytes) {
        mScannedBytes = Math.max(0, mScannedBytes - bytes);
    }

    private void advance(byte next) {
        if (next == '\n') {
            mHeadEnded = mLineSeen && mLineBytes == 0;
            mLineSeen |= mLineBytes > 0;
            mLineBytes = 0;
        } else if (next != '\r') {
            mLineBytes++;
        }
    }
}
