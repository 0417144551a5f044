package org.azurearch.internal.call;

import io.netty.buffer.ByteBuf;

/**
 * Looks for folded header lines in the bytes of a head, which the decoder would join without a
 * word. Each byte is looked at once.
 */
final class FoldScanner {
    private int mSeen;
    private int mLineBytes;
    private boolean mAnyLine;
    private boolean mHeadEnded;

    /** Begins with a new head. */
    void reset() {
        mSeen = 0;
        mLineBytes = 0;
        mAnyLine = false;
        mHeadEnded = false;
    }

    /**
     * Looks at what has arrived of the head since the last time.
     *
     * @param unread the bytes that the decoder has not consumed
     * @return whether a header line begins with a space or a tab
     */
    boolean folded(ByteBuf unread) {
        int end = unread.writerIndex();
        int at = unread.readerIndex() + mSeen;
        for (; at < end && !mHeadEnded; at++) {
            byte next = unread.getByte(at);
            if (mAnyLine && mLineBytes == 0 && (next == ' ' || next == '\t')) {
                return true;
            }
            look(next);
        }
        mSeen = at - unread.readerIndex();
        return false;
    }

    /** Takes note that the decoder has consumed bytes. */
    void consumed(int bytes) {
        mSeen = Math.max(0, mSeen - bytes);
    }

    private void look(byte next) {
        if (next == '\n') {
            mHeadEnded = mAnyLine && mLineBytes == 0;
            mAnyLine |= mLineBytes > 0;
            mLineBytes = 0;
        } else if (next != '\r') {
            mLineBytes++;
        }
    }
}
