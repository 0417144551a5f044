package org.azurearch.internal.call;

import io.netty.buffer.ByteBuf;

/**
 * Detects folded header lines (obs-fold of RFC 9112) in the bytes of a request's head, since
 * Netty's decoder unfolds them silently. Scans each byte once.
 */
final class HeaderFoldDetector {
    private int mScannedBytes;
    private int mLineBytes;
    private boolean mLineSeen;
    private boolean mHeadEnded;

    /** Resets the state for the next head. */
    void reset() {
        mScannedBytes = 0;
        mLineBytes = 0;
        mLineSeen = false;
        mHeadEnded = false;
    }

    /**
     * Scans the bytes of the head that have arrived since the last scan.
     *
     * @param unread the bytes that the decoder has not consumed
     * @return true if a header line begins with a space or a tab
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

    /** Adjusts the scan position after the decoder has consumed bytes. */
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
