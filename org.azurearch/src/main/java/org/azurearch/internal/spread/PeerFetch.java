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
 * Fetches a snapshot from peers: a manifest from one, the chunks from any of them. Chunks that were
 * fetched are kept when a peer fails, so that the next one only has to give the rest.
 */
final class PeerFetch {
    private static final int PARALLEL_CHUNKS = 4;
    private static final int MAX_BUSY_ANSWERS = 40;
    private static final long NOT_DUE = Long.MAX_VALUE;

    private final CoreContext mContext;
    private final Map<Digest, byte[]> mChunks = new HashMap<>();
    private final Map<Digest, Long> mAskedAt = new HashMap<>();
    private Deque<NodeId> mPeers = new ArrayDeque<>();
    private @Nullable NodeId mPeer;
    private @Nullable Manifest mManifest;
    private long mManifestAskedAt;
    private long mWaitUntil;
    private int mBusyAnswers;

    PeerFetch(CoreContext context) {
        mContext = context;
    }

    /** Says whether a fetch is under way. */
    boolean active() {
        return mPeer != null;
    }

    /** Starts with the first of some peers; each is tried at most once. */
    void start(List<NodeId> peers, long now) {
        mPeers = new ArrayDeque<>(peers);
        mChunks.clear();
        mBusyAnswers = 0;
        nextPeer(now);
    }

    /** Returns when the next step is due, in milliseconds. */
    long dueAt() {
        if (mPeer == null) {
            return NOT_DUE;
        }
        if (mWaitUntil > 0) {
            return mWaitUntil;
        }
        if (mManifest == null) {
            return mManifestAskedAt + timeoutMillis();
        }
        return mAskedAt.values().stream().mapToLong(Long::longValue).min().orElse(0)
                + timeoutMillis();
    }

    /** Asks again after a wait, and gives up a peer that does not answer. */
    void tick(long now) {
        if (mPeer == null || now < dueAt()) {
            return;
        }
        if (mWaitUntil > 0) {
            mWaitUntil = 0;
            askMore(now);
        } else {
            nextPeer(now);
        }
    }

    /** Takes a manifest. */
    @Nullable FoldState manifest(NodeId by, Manifest manifest, long now) {
        if (!by.equals(mPeer) || mManifest != null) {
            return null;
        }
        if (!manifest.position().after(mContext.position())
                && !manifest.position().contradicts(mContext.position())) {
            nextPeer(now);
            return null;
        }
        mManifest = manifest;
        mChunks.keySet().retainAll(manifest.chunks());
        return askOrFinish(now);
    }

    /** Takes a chunk; returns the state when it was the last one. */
    @Nullable FoldState chunk(NodeId by, Digest digest, byte @Nullable [] content, long now) {
        if (mAskedAt.remove(digest) == null || mManifest == null) {
            return null;
        }
        if (content == null || !Digest.of(content).equals(digest)) {
            nextPeer(now);
            return null;
        }
        mChunks.put(digest, content);
        return askOrFinish(now);
    }

    /** Takes a failure; a busy peer is asked again after the time it gave. */
    void failed(NodeId by, @Nullable Digest digest, long retryAfterMillis, long now) {
        if (!by.equals(mPeer)) {
            return;
        }
        if (digest != null) {
            mAskedAt.remove(digest);
        }
        if (retryAfterMillis > 0 && mBusyAnswers < MAX_BUSY_ANSWERS) {
            mBusyAnswers++;
            mWaitUntil = now + retryAfterMillis + mContext.jittered(retryAfterMillis);
        } else {
            nextPeer(now);
        }
    }

    private @Nullable FoldState askOrFinish(long now) {
        Manifest manifest = mManifest;
        if (manifest == null || !mChunks.keySet().containsAll(manifest.chunks())) {
            askMore(now);
            return null;
        }
        try {
            FoldState state = SnapshotImage.assemble(manifest, mChunks, mContext.format());
            stop();
            return state;
        } catch (AzurearchException e) {
            mContext.report(
                    SpreadEvent.SNAPSHOT_SKIPPED,
                    manifest.position(),
                    String.valueOf(e.getMessage()));
            mChunks.clear();
            nextPeer(now);
            return null;
        }
    }

    private void askMore(long now) {
        NodeId peer = mPeer;
        if (peer == null || mWaitUntil > now) {
            return;
        }
        if (mManifest == null) {
            mManifestAskedAt = now;
            mContext.emit(new SpreadEffect.AskManifest(peer));
            return;
        }
        List<Digest> missing = new ArrayList<>(mManifest.chunks());
        missing.removeAll(mChunks.keySet());
        missing.removeAll(mAskedAt.keySet());
        for (Digest digest : missing) {
            if (mAskedAt.size() >= PARALLEL_CHUNKS) {
                return;
            }
            mAskedAt.put(digest, now);
            mContext.emit(new SpreadEffect.AskChunk(peer, digest));
        }
    }

    private void nextPeer(long now) {
        stop();
        mPeer = mPeers.poll();
        askMore(now);
    }

    private void stop() {
        mPeer = null;
        mManifest = null;
        mAskedAt.clear();
        mWaitUntil = 0;
    }

    private long timeoutMillis() {
        return 2 * mContext.settings().peerTimeout().toMillis();
    }
}
