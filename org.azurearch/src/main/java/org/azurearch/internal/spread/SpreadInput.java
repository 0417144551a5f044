package org.azurearch.internal.spread;

import java.util.List;
import org.azurearch.lib.Digest;
import org.azurearch.lib.NodeId;
import org.azurearch.log.LogBatch;
import org.azurearch.spread.Position;
import org.jspecify.annotations.Nullable;

/** What the distribution core is told. */
sealed interface SpreadInput {
    /** Time has passed. */
    record Tick() implements SpreadInput {}

    /** The membership has changed. */
    record MembersChanged(Topology topology) implements SpreadInput {}

    /** The log answered a read of the change stream. */
    record LogRead(LogBatch batch) implements SpreadInput {}

    /** A read of the change stream failed. */
    record LogFailed(String reason) implements SpreadInput {}

    /** Retention has removed the record that was to be read next. */
    record LogOffsetRemoved(long earliest) implements SpreadInput {}

    /** A node pushed a delta, to be passed on to the subtree. */
    record Pushed(Delta delta, List<NodeId> subtree) implements SpreadInput {}

    /** A push failed, so that its subtree was not reached. */
    record PushFailed(NodeId to, Delta delta, List<NodeId> subtree) implements SpreadInput {}

    /** A node answered a pull. */
    record PullAnswered(
            NodeId peer, Position position, @Nullable Delta delta, boolean snapshotNeeded)
            implements SpreadInput {}

    /** A pull failed; the node is busy when the time to wait is above zero. */
    record PullFailed(NodeId peer, long retryAfterMillis) implements SpreadInput {}

    /** A node that sent a pull is at a later position than this one. */
    record PeerAhead(NodeId node, Position position) implements SpreadInput {}

    /** A node answered with the manifest of its snapshot. */
    record ManifestAnswered(NodeId peer, Manifest manifest) implements SpreadInput {}

    /** A node answered with a chunk's content, or with null when it does not hold the chunk. */
    record ChunkAnswered(NodeId peer, Digest digest, byte @Nullable [] content)
            implements SpreadInput {}

    /** A request for a manifest or chunk failed; busy when the time to wait is above zero. */
    record FetchFailed(NodeId peer, @Nullable Digest digest, long retryAfterMillis)
            implements SpreadInput {}

    /** The log answered a read of the snapshot stream. */
    record SnapshotsRead(long requestedOffset, LogBatch batch) implements SpreadInput {}

    /** A read of the snapshot stream found that retention has removed the offset. */
    record SnapshotOffsetRemoved(long earliest) implements SpreadInput {}

    /** A read of the snapshot stream failed. */
    record SnapshotsFailed(String reason) implements SpreadInput {}

    /** The newest snapshot of the log was looked up, null when there is none. */
    record NewestSnapshot(SnapshotSchedule.@Nullable Saved newest) implements SpreadInput {}

    /** A snapshot was appended as a whole, or failed to be. */
    record SnapshotSaved(Position position, boolean succeeded) implements SpreadInput {}
}
