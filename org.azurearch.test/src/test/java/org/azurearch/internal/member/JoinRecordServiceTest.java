package org.azurearch.internal.member;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.internal.member.JoinRecordCore.Role;
import org.azurearch.junit.ManualTimerService;
import org.azurearch.lib.NetAddress;
import org.azurearch.lib.StreamId;
import org.azurearch.log.LogBatch;
import org.azurearch.log.LogClient;
import org.azurearch.log.LogRecord;
import org.azurearch.log.OffsetRemovedException;
import org.azurearch.member.Member;
import org.junit.jupiter.api.Test;

class JoinRecordServiceTest {
    private static final Duration RENEWAL = Duration.ofHours(6);

    private final ManualTimerService mTimers = new ManualTimerService();
    private final FakeLog mLog = new FakeLog();
    private final MemberNetwork mNetwork = new MemberNetwork(1);

    @Test
    void simultaneousStartWithoutSeedsNeedsFewRecords() {
        List<List<NetAddress>> found = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            Member self = mNetwork.start("n" + i, "a").mesh().self();
            List<NetAddress> ofNode = new ArrayList<>();
            found.add(ofNode);
            service(self, i, Role.ALONE, ofNode).start();
        }
        advance(Duration.ofMinutes(2));
        assertEquals(JoinRecordCore.RECORDS_PER_DATA_CENTRE, mLog.mRecords.size());
        assertTrue(found.stream().allMatch(addresses -> !addresses.isEmpty()));
    }

    @Test
    void relayRenewsDespiteOutageRetentionAndMalformedRecord() {
        mLog.append(StreamId.fromString("test.nodes"), new byte[] {1});
        Member self = mNetwork.start("n", "a").mesh().self();
        service(self, 1, Role.RELAY, new ArrayList<>()).start();
        mLog.mDown = true;
        advance(Duration.ofHours(2));
        mLog.mDown = false;
        advance(Duration.ofHours(2));
        assertEquals(2, mLog.mRecords.size());
        mLog.mEarliest = 2;
        advance(Duration.ofHours(26));
        assertTrue(mLog.mRecords.size() >= 5, "records " + mLog.mRecords.size());
        assertTrue(mLog.mRecords.size() <= 7, "records " + mLog.mRecords.size());
    }

    private JoinRecordService service(Member self, long seed, Role role, List<NetAddress> found) {
        return new JoinRecordService(
                new JoinRecordCore(JoinRecord.of(self), RENEWAL, new SplittableRandom(seed)),
                StreamId.fromString("test.nodes"),
                () -> Optional.of(mLog),
                () -> role,
                () -> self,
                addresses -> {
                    found.clear();
                    found.addAll(addresses);
                },
                mTimers);
    }

    private void advance(Duration time) {
        for (long second = 0; second < time.toSeconds(); second++) {
            mTimers.advance(Duration.ofSeconds(1));
        }
    }

    /** An in-memory log that can be unavailable and whose oldest records can be removed. */
    private final class FakeLog implements LogClient {
        private final List<LogRecord> mRecords = new ArrayList<>();
        private boolean mDown;
        private long mEarliest;

        @Override
        public CompletableFuture<Long> append(StreamId stream, byte[] data) {
            long appended = mTimers.time().wallMillis();
            mRecords.add(new LogRecord(mRecords.size(), appended, data));
            return CompletableFuture.completedFuture(mRecords.size() - 1L);
        }

        @Override
        public CompletableFuture<LogBatch> read(
                StreamId stream, long offset, int maxBytes, Duration wait) {
            if (mDown) {
                return CompletableFuture.failedFuture(
                        new AzurearchException(ErrorCode.LOG_UNAVAILABLE, "down"));
            }
            if (offset < mEarliest) {
                return CompletableFuture.failedFuture(
                        new OffsetRemovedException(offset, mEarliest));
            }
            List<LogRecord> records = mRecords.subList((int) offset, mRecords.size());
            return CompletableFuture.completedFuture(
                    new LogBatch(records, mEarliest, mRecords.size()));
        }

        @Override
        public void close() {}
    }
}
