package org.azurearch.internal.spread;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.azurearch.fold.FoldState;
import org.azurearch.lib.Digest;
import org.azurearch.lib.NodeId;
import org.azurearch.log.LogBatch;
import org.azurearch.spread.StateSource;
import org.azurearch.time.Backoff;
import org.jspecify.annotations.Nullable;

/** Fetches a snapshot: from peers in this data centre, then in others, then from the log. */
final class Resync {
    private static final int MAX_HOME_PEERS = 3;
    private static final int MAX_REMOTE_PEERS = 2;
    private static final Duration BACKOFF_BASE = Duration.ofMillis(500);
    private static final Duration BACKOFF_MAX = Duration.ofSeconds(10);

    private final CoreContext mContext;
    private final PeerSnapshotFetch mPeerFetch;
    private final LogSnapshotScan mLogScan;
    private final Backoff mBackoff;
    private boolean mActive;
    private boolean mMayReadLog;
    private boolean mScanning;
    private boolean mLogSearched;
    private long mNextStartAt;
    private String mFailure = "";

    Resync(CoreContext context) {
        mContext = context;
        mPeerFetch = new PeerSnapshotFetch(context);
        mLogScan = new LogSnapshotScan(context);
        mBackoff = new Backoff(BACKOFF_BASE, BACKOFF_MAX, context.random());
    }

    /** Returns whether a fetch is in progress. */
    boolean active() {
        return mActive;
    }

    /** Returns why the last fetch failed; empty if it succeeded or there was none. */
    String failure() {
        return mFailure;
    }

    /** Returns when the next step is due, in milliseconds. */
    long dueAt() {
        return Math.min(mPeerFetch.dueAt(), mLogScan.dueAt());
    }

    /**
     * Starts a fetch, unless one is in progress or the delay after a failed one has not passed.
     *
     * @param first the peer to try first, or null
     * @param mayReadLog whether to read the log if no peer provides a snapshot
     */
    void start(@Nullable NodeId first, boolean mayReadLog, long now) {
        if (mActive || now < mNextStartAt) {
            return;
        }
        mActive = true;
        mMayReadLog = mayReadLog;
        mScanning = false;
        mLogSearched = false;
        mContext.report(SpreadEvent.RESYNC_STARTED, mContext.position());
        mPeerFetch.start(peersToTry(first), now);
        advance(now);
    }

    /** Handles timeouts and retries that are due. */
    void tick(long now) {
        mPeerFetch.tick(now);
        mLogScan.tick(now);
        advance(now);
    }

    /** Handles a manifest from a peer. */
    void onManifest(NodeId peer, Manifest manifest, long now) {
        install(mPeerFetch.onManifest(peer, manifest, now), StateSource.PEER_SNAPSHOT);
        advance(now);
    }

    /** Handles a chunk from a peer. */
    void onChunk(NodeId peer, Digest digest, byte @Nullable [] content, long now) {
        install(mPeerFetch.onChunk(peer, digest, content, now), StateSource.PEER_SNAPSHOT);
        advance(now);
    }

    /** Handles the failure of a request to a peer. */
    void onFetchFailure(NodeId peer, @Nullable Digest digest, long retryAfterMillis, long now) {
        mPeerFetch.onFailure(peer, digest, retryAfterMillis, now);
        advance(now);
    }

    /** Handles records of the snapshot stream. */
    void onSnapshotsRead(long requestedOffset, LogBatch batch, long now) {
        mLogScan.onBatch(requestedOffset, batch, now);
        advance(now);
    }

    /** Handles a read of the snapshot stream whose offset retention has removed. */
    void onSnapshotsRemoved(long earliest, long now) {
        mLogScan.onOffsetRemoved(earliest, now);
        advance(now);
    }

    /** Handles the failure of a read of the snapshot stream. */
    void onSnapshotsFailure(String reason, long now) {
        mLogScan.onFailure(reason);
        advance(now);
    }

    /**
     * Returns whether the log has been searched without failure since the last start, so that its
     * records can be folded from the first one.
     */
    boolean logSearched() {
        return mLogSearched;
    }

    private void advance(long now) {
        if (!mActive || mPeerFetch.active()) {
            return;
        }
        if (!mMayReadLog) {
            finish(false, "no peer provided a snapshot", now);
            return;
        }
        if (!mScanning) {
            mScanning = true;
            mLogScan.start(now);
            return;
        }
        switch (mLogScan.result()) {
            case SEARCHING -> {}
            case FOUND -> {
                mLogSearched = true;
                install(mLogScan.found(), StateSource.LOG_SNAPSHOT);
            }
            case NONE -> {
                mLogSearched = true;
                finish(false, mLogScan.reason(), now);
            }
            case FAILED -> finish(false, mLogScan.reason(), now);
            default -> throw new IllegalStateException("result " + mLogScan.result());
        }
    }

    private void install(@Nullable FoldState state, StateSource source) {
        if (state != null) {
            mContext.install(state, source);
            finish(true, "", 0);
        }
    }

    private void finish(boolean succeeded, String reason, long now) {
        mActive = false;
        mFailure = reason;
        if (succeeded) {
            mBackoff.reset();
        } else {
            mNextStartAt = now + mBackoff.nextDelay().toMillis();
            if (reason.isEmpty()) {
                mContext.report(SpreadEvent.SNAPSHOT_NONE);
            } else {
                mContext.report(SpreadEvent.RESYNC_FAILED, reason);
            }
        }
    }

    private List<NodeId> peersToTry(@Nullable NodeId first) {
        List<NodeId> peers = new ArrayList<>();
        if (first != null) {
            peers.add(first);
        }
        addRandom(peers, mContext.topology().neighbours(), MAX_HOME_PEERS);
        addRandom(peers, mContext.topology().remoteReaders(), MAX_REMOTE_PEERS);
        return peers;
    }

    private void addRandom(List<NodeId> peers, List<NodeId> from, int max) {
        List<NodeId> shuffled = new ArrayList<>(from);
        shuffled.removeAll(peers);
        Collections.shuffle(shuffled, new Random(mContext.random().nextLong()));
        peers.addAll(shuffled.subList(0, Math.min(max, shuffled.size())));
    }
}
