package org.azurearch.standin.log;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.azurearch.log.LogRecord;

/** The retained records of one stream. Not thread-safe. */
final class LogStream {
    private final NavigableMap<Long, LogRecord> mRecords = new TreeMap<>();
    private final long mRetentionMillis;
    private final int mRetentionRecords;
    private long mEnd;
    private long mAppendedBytes;
    private long mReads;
    private long mReadBytes;

    LogStream(Duration retentionAge, int retentionRecords) {
        mRetentionMillis = retentionAge.toMillis();
        mRetentionRecords = retentionRecords;
    }

    long append(byte[] data, long nowMillis) {
        long offset = mEnd++;
        mRecords.put(offset, new LogRecord(offset, nowMillis, data));
        mAppendedBytes += data.length;
        expire(nowMillis);
        return offset;
    }

    /** Removes the records that exceed the retention age or count. */
    void expire(long nowMillis) {
        while (mRecords.size() > mRetentionRecords || oldestHasExpired(nowMillis)) {
            mRecords.pollFirstEntry();
        }
    }

    /** Returns records from an offset on, up to a total size but at least one if any exists. */
    List<LogRecord> read(long offset, long maxBytes) {
        List<LogRecord> found = new ArrayList<>();
        long bytes = 0;
        for (LogRecord record : mRecords.tailMap(offset, true).values()) {
            bytes += record.data().length;
            if (!found.isEmpty() && bytes > maxBytes) {
                break;
            }
            found.add(record);
        }
        return found;
    }

    void countRead(List<LogRecord> records) {
        mReads++;
        records.forEach(record -> mReadBytes += record.data().length);
    }

    long earliest() {
        return mEnd - mRecords.size();
    }

    long end() {
        return mEnd;
    }

    LogStatistics.Stream statistics() {
        return new LogStatistics.Stream(mEnd, mAppendedBytes, mReads, mReadBytes, earliest(), mEnd);
    }

    private boolean oldestHasExpired(long nowMillis) {
        Map.Entry<Long, LogRecord> oldest = mRecords.firstEntry();
        return oldest != null
                && nowMillis - oldest.getValue().appendedAtMillis() > mRetentionMillis;
    }
}
