package org.azurearch.internal.spread;

import org.azurearch.fold.FoldState;
import org.azurearch.lib.Digest;
import org.azurearch.spread.Position;
import org.jspecify.annotations.Nullable;

/**
 * The snapshots that this node serves: the last one requested and the one before it, so that a
 * fetch in progress can complete after the state has changed. Thread-safe.
 */
final class SnapshotCache {
    private final FoldFormat mFormat;
    private final int mCompressionLevel;
    private @Nullable SnapshotImage mCurrent;
    private @Nullable SnapshotImage mPrevious;

    SnapshotCache(FoldFormat format, int compressionLevel) {
        mFormat = format;
        mCompressionLevel = compressionLevel;
    }

    /** Returns the manifest of the snapshot of a state. */
    synchronized Manifest manifest(FoldState state) {
        SnapshotImage current = mCurrent;
        if (current == null || !current.manifest().position().equals(Position.of(state))) {
            mPrevious = current;
            current = SnapshotImage.of(state, mFormat);
            mCurrent = current;
        }
        return current.manifest();
    }

    /** Returns a compressed chunk, or null if neither snapshot contains it. */
    byte @Nullable [] chunk(Digest digest) {
        byte[] content = content(digest);
        return content == null ? null : SnapshotRecords.compress(content, mCompressionLevel);
    }

    private synchronized byte @Nullable [] content(Digest digest) {
        byte[] content = contentOf(mCurrent, digest);
        return content != null ? content : contentOf(mPrevious, digest);
    }

    private static byte @Nullable [] contentOf(@Nullable SnapshotImage image, Digest digest) {
        return image == null ? null : image.chunks().get(digest);
    }
}
