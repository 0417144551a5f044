package org.azurearch.spread;

import java.time.Duration;

/** Base of the policies under which readers push deltas and pulls recover lost ones. */
abstract class TreePolicy implements SpreadPolicy {
    private final String mName;
    private final Duration mBatchWindow;
    private final Duration mAntiEntropyPeriod;
    private final Duration mReportDelay;
    private final int mFanOut;
    private final int mCompressionLevel;

    TreePolicy(
            String name,
            Duration batchWindow,
            Duration antiEntropyPeriod,
            Duration reportDelay,
            int fanOut,
            int compressionLevel) {
        mName = name;
        mBatchWindow = batchWindow;
        mAntiEntropyPeriod = antiEntropyPeriod;
        mReportDelay = reportDelay;
        mFanOut = fanOut;
        mCompressionLevel = compressionLevel;
    }

    @Override
    public final String name() {
        return mName;
    }

    @Override
    public final boolean everyNodeReads() {
        return false;
    }

    @Override
    public final Duration batchWindow() {
        return mBatchWindow;
    }

    @Override
    public final int fanOut() {
        return mFanOut;
    }

    @Override
    public final Duration antiEntropyPeriod() {
        return mAntiEntropyPeriod;
    }

    @Override
    public final Duration reportDelay() {
        return mReportDelay;
    }

    @Override
    public final int compressionLevel() {
        return mCompressionLevel;
    }
}
