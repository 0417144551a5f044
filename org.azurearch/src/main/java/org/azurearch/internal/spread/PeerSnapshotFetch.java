package org.azurearch.internal.spread;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.azurearch.errors.AzurearchException;
import org.azurearch.fold.FoldState;
import org.azurearch.lib.Digest;
import org.azurearch.lib.NodeId;
import org.jspecify.annotations.Nullable;

/**
 * Fetches a snapshot from peers, one peer at a time: first the manifest, then the chunks. When a
 * peer fails, the chunks fetched so far are kept, and only the missing ones are requested from the
 * next peer.
 */
final class PeerSnapshotFetch {
    private static final int PARALLEL_CHUNKS = 4;
    private static final int MAX_BUSY_REPLIES = 40;
    private static final long NOT_DUE = Long.MAX_VALUE;

    private final CoreContext mContext;
    private final Map<Digest, byte[]> mChunks = new HashMap<>();
    private final Map<Digest, Long> mChunksRequestedAt = new HashMap<>();
    private Deque<NodeId> mPeers = new ArrayDeque<>();
    private @Nullable NodeId mPeer;
    private @Nullable Manifest mManifest;
    private long mManifestRequestedAt;
    private long mRetryAt;
    private int mBusyReplies;

    PeerSnapshotFetch(CoreContext context) {
        mContext = context;
    }

    /** Returns whether a fetch is in progress. */
    boolean active() {
        return mPeer != null;
    }

    /** Starts a fetch; the peers are tried in order, each at most once. */
    void start(List<NodeId> peers, long now) {
        mPeers = new ArrayDeque<>(peers);
        mChunks.clear();
        mBusyReplies = 0;
        startNextPeer(now);
    }

    /** Returns when the next step is due, in milliseconds. */
    long dueAt() {
        if (mPeer == null) {
            return NOT_DUE;
        }
        if (mRetryAt > 0) {
            return mRetryAt;
        }
        if (mManifest == null) {
            return mManifestRequestedAt + timeoutMillis();
        }
        return mChunksRequestedAt.values().stream().mapToLong(Long::longValue).min().orElse(0)
                + timeoutMillis();
    }

    /** Retries a busy peer when its wait is over, and skips a peer that has timed out. */
    void tick(long now) {
        if (mPeer == null || now < dueAt()) {
            return;
        }
        if (mRetryAt > 0) {
            mRetryAt = 0;
            requestMissing(now);
        } else {
            startNextPeer(now);
        }
    }

    /** Handles a manifest; returns the state if all its chunks are present already, else null. */
    @Nullable FoldState onManifest(NodeId peer, Manifest manifest, long now) {
        if (!peer.equals(mPeer) || mManifest != null) {
            return null;
        }
        if (!manifest.position().after(mContext.position())
                && !manifest.position().contradicts(mContext.position())) {
            startNextPeer(now);
            return null;
        }
        mManifest = manifest;
        mChunks.keySet().retainAll(manifest.chunks());
        return requestOrAssemble(now);
    }

    /** Handles a chunk; returns the state if it was the last missing one, else null. */
    @Nullable FoldState onChunk(NodeId peer, Digest digest, byte @Nullable [] content, long now) {
        if (mChunksRequestedAt.remove(digest) == null || mManifest == null) {
            return null;
        }
        if (content == null || !Digest.of(content).equals(digest)) {
            startNextPeer(now);
            return null;
        }
        mChunks.put(digest, content);
        return requestOrAssemble(now);
    }

    /** Handles the failure of a request; a busy peer is retried after the delay it asked for. */
    void onFailure(NodeId peer, @Nullable Digest digest, long retryAfterMillis, long now) {
        if (!peer.equals(mPeer)) {
            return;
        }
        if (digest != null) {
            mChunksRequestedAt.remove(digest);
        }
        if (retryAfterMillis > 0 && mBusyReplies < MAX_BUSY_REPLIES) {
            mBusyReplies++;
            mRetryAt = now + retryAfterMillis + mContext.jittered(retryAfterMillis);
        } else {
            startNextPeer(now);
        }
    }

    private @Nullable FoldState requestOrAssemble(long now) {
        Manifest manifest = mManifest;
        if (manifest == null || !mChunks.keySet().containsAll(manifest.chunks())) {
            requestMissing(now);
            return null;
        }
        try {
            FoldState state = SnapshotImage.assemble(manifest, mChunks, mContext.format());
            reset();
            return state;
        } catch (AzurearchException e) {
            mContext.report(
                    SpreadEvent.SNAPSHOT_SKIPPED,
                    manifest.position(),
                    String.valueOf(e.getMessage()));
            mChunks.clear();
            startNextPeer(now);
            return null;
        }
    }

    private void requestMissing(long now) {
        NodeId peer = mPeer;
        if (peer == null || mRetryAt > now) {
            return;
        }
        if (mManifest == null) {
            mManifestRequestedAt = now;
            mContext.emit(new SpreadEffect.FetchManifest(peer));
            return;
        }
        List<Digest> missing = new ArrayList<>(mManifest.chunks());
        missing.removeAll(mChunks.keySet());
        missing.removeAll(mChunksRequestedAt.keySet());
        for (Digest digest : missing) {
            if (mChunksRequestedAt.size() >= PARALLEL_CHUNKS) {
                return;
            }
            mChunksRequestedAt.put(digest, now);
            mContext.emit(new SpreadEffect.FetchChunk(peer, digest));
        }
    }

    private void startNextPeer(long now) {
        reset();
        mPeer = mPeers.poll();
        requestMissing(now);
    }

    private void reset() {
        mPeer = null;
        mManifest = null;
        mChunksRequestedAt.clear();
        mRetryAt = 0;
    }

    private long timeoutMillis() {
        return 2 * mContext.settings().peerTimeout().toMillis();
    }
}
