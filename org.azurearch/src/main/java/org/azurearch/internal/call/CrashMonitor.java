package org.azurearch.internal.call;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.azurearch.call.CallEvent;
import org.azurearch.call.CrashContainment;
import org.azurearch.call.SuspectTable;
import org.azurearch.call.SuspectTable.Strike;
import org.azurearch.events.EventLog;
import org.azurearch.lib.NodeId;
import org.azurearch.member.Announcement;
import org.azurearch.member.Board;
import org.azurearch.time.TimeSource;
import org.jspecify.annotations.Nullable;

/**
 * Records which requests were in flight when the backend server behind this node crashed, and
 * shares them with the peers through the board. Thread-safe.
 */
final class CrashMonitor implements CrashContainment {
    private static final String STRIKE_KIND = "crash.strike";
    private static final String CLEARED_KIND = "crash.cleared";
    private static final String SEPARATOR = " ";
    private static final int STRIKE_PARTS = 3;
    private static final Duration SOLE_SUSPECT_LIFETIME = Duration.ofMinutes(10);
    private static final Duration SHARED_SUSPECT_LIFETIME = Duration.ofMinutes(1);
    private static final Duration UNDECIDED_SUSPECT_LIFETIME = Duration.ofSeconds(2);
    private static final int MAX_STRIKES_PER_CRASH = 64;

    private final Board mBoard;
    private final NodeId mNode;
    private final String mEpoch;
    private final TimeSource mTime;
    private final AtomicLong mCrashes = new AtomicLong();
    private final Map<BackendKey, List<RequestFingerprint>> mLostRequests = new HashMap<>();
    private volatile SuspectTable mTable = SuspectTable.EMPTY;

    CrashMonitor(Board board, NodeId node, String epoch, TimeSource time) {
        mBoard = board;
        mNode = node;
        mEpoch = epoch;
        mTime = time;
        board.addListener(this::rebuild);
        rebuild();
    }

    /** Returns the current suspects. */
    SuspectTable table() {
        return mTable;
    }

    /** Returns whether a request is contained. */
    boolean contains(RequestFingerprint fingerprint) {
        SuspectTable table = mTable;
        long now = mTime.wallMillis();
        return !table.isEmpty()
                && fingerprint.fingerprints().stream().anyMatch(each -> table.contained(each, now));
    }

    /**
     * Records a request whose connection to a backend server was lost.
     *
     * @return the receiver of the result of a {@link CrashProbe} of the server, which the caller
     *     must start; null if one is running
     */
    synchronized CrashProbe.@Nullable Listener connectionLost(
            Announcement server, RequestFingerprint fingerprint) {
        BackendKey key = BackendKey.of(server);
        boolean first = !mLostRequests.containsKey(key);
        List<RequestFingerprint> lost =
                mLostRequests.computeIfAbsent(key, each -> new ArrayList<>());
        if (lost.size() < MAX_STRIKES_PER_CRASH) {
            lost.add(fingerprint);
        }
        return first ? new ProbeListener(key) : null;
    }

    /** Receives the result of the probe of one backend server. */
    private final class ProbeListener implements CrashProbe.Listener {
        private final BackendKey mServer;

        ProbeListener(BackendKey server) {
            mServer = server;
        }

        @Override
        public void crashed() {
            // The requests lost until the second probe belong to the same crash.
        }

        @Override
        public void probed(boolean crashed) {
            CrashMonitor.this.probed(mServer, crashed);
        }
    }

    /** After a crash, all requests recorded since the last result become suspects. */
    private void probed(BackendKey server, boolean crashed) {
        List<RequestFingerprint> lost;
        synchronized (this) {
            lost = mLostRequests.remove(server);
        }
        if (!crashed || lost == null) {
            return;
        }
        String crash = mNode + "." + mEpoch + "." + mCrashes.incrementAndGet();
        EventLog.log(CallEvent.BACKEND_SERVER_CRASHED, crash, lost.size());
        for (RequestFingerprint fingerprint : lost) {
            recordStrikes(fingerprint, crash);
        }
    }

    /** Clears a request of suspicion, since it has completed without a crash. */
    void completed(RequestFingerprint fingerprint) {
        SuspectTable table = mTable;
        if (!table.isEmpty()) {
            fingerprint.fingerprints().stream().filter(table::struck).forEach(this::clear);
        }
    }

    @Override
    public List<ContainedRequest> containedRequests() {
        return mTable.contained(mTime.wallMillis());
    }

    @Override
    public ReleaseStatus release(String fingerprint) {
        if (!mTable.contained(fingerprint, mTime.wallMillis())) {
            return ReleaseStatus.UNKNOWN;
        }
        EventLog.log(CallEvent.REQUEST_RELEASED, fingerprint);
        mTable.variants(fingerprint).forEach(this::clear);
        return ReleaseStatus.RELEASED;
    }

    private void recordStrikes(RequestFingerprint request, String crash) {
        String value =
                String.join(
                        SEPARATOR,
                        Long.toString(mTime.wallMillis()),
                        request.targetDigest(),
                        request.summary());
        for (String fingerprint : request.fingerprints()) {
            mBoard.put(STRIKE_KIND, fingerprint + "/" + crash, value, SOLE_SUSPECT_LIFETIME);
        }
        rebuild();
        if (contains(request)) {
            EventLog.log(
                    CallEvent.REQUEST_CONTAINED, request.fingerprints().get(0), request.summary());
        }
    }

    private void clear(String fingerprint) {
        mBoard.put(
                CLEARED_KIND,
                fingerprint,
                Long.toString(mTime.wallMillis()),
                SOLE_SUSPECT_LIFETIME);
        rebuild();
    }

    private void rebuild() {
        List<Strike> strikes = new ArrayList<>();
        for (Board.Entry entry : mBoard.entries(STRIKE_KIND)) {
            String[] key = entry.key().split("/", 2);
            String[] value = entry.value().split(SEPARATOR, STRIKE_PARTS);
            if (key.length == 2 && value.length == STRIKE_PARTS) {
                strikes.add(new Strike(key[0], value[1], value[2], key[1], millis(value[0])));
            }
        }
        Map<String, Long> cleared = new HashMap<>();
        for (Board.Entry entry : mBoard.entries(CLEARED_KIND)) {
            cleared.put(entry.key(), millis(entry.value()));
        }
        mTable =
                strikes.isEmpty()
                        ? SuspectTable.EMPTY
                        : SuspectTable.of(
                                strikes,
                                cleared,
                                new SuspectTable.Lifetimes(
                                        SOLE_SUSPECT_LIFETIME.toMillis(),
                                        SHARED_SUSPECT_LIFETIME.toMillis(),
                                        UNDECIDED_SUSPECT_LIFETIME.toMillis()));
    }

    private static long millis(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
