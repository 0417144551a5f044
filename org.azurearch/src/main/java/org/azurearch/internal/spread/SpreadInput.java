package org.azurearch.internal.spread;

import java.util.List;
import org.azurearch.lib.Digest;
import org.azurearch.lib.NodeId;
import org.azurearch.log.LogBatch;
import org.azurearch.spread.Position;
import org.jspecify.annotations.Nullable;

/** An event that the distribution core handles. */
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

    /** A node pushed a delta, which is to be forwarded to the subtree. */
    record Pushed(Delta delta, List<NodeId> subtree) implements SpreadInput {}

    /** A push failed, so that its subtree has not received the delta. */
    record PushFailed(NodeId to, Delta delta, List<NodeId> subtree) implements SpreadInput {}

    /** A node answered a pull. */
    record PullAnswered(
            NodeId peer, Position position, @Nullable Delta delta, boolean snapshotNeeded)
            implements SpreadInput {}

    /** A pull failed; the node was busy if the time to wait is above zero. */
    record PullFailed(NodeId peer, long retryAfterMillis) implements SpreadInput {}

    /** A node that sent a pull is at a later position than this one. */
    record PeerAhead(NodeId node, Position position) implements SpreadInput {}

    /** A node answered with the manifest of its snapshot. */
    record ManifestAnswered(NodeId peer, Manifest manifest) implements SpreadInput {}

    /** A node answered with a chunk's content, or with null if it does not have the chunk. */
    record ChunkAnswered(NodeId peer, Digest digest, byte @Nullable [] content)
            implements SpreadInput {}

    /**
     * A request for a manifest (null digest) or a chunk failed; the node was busy if the time to
     * wait is above zero.
     */
    record FetchFailed(NodeId peer, @Nullable Digest digest, long retryAfterMillis)
            implements SpreadInput {}

    /** The log answered a read of the snapshot stream. */
    record SnapshotsRead(long requestedOffset, LogBatch batch) implements SpreadInput {}

    /** A read of the snapshot stream found that retention has removed the offset. */
    record SnapshotOffsetRemoved(long earliest) implements SpreadInput {}

    /** A read of the snapshot stream failed. */
    record SnapshotsFailed(String reason) implements SpreadInput {}

    /** The newest snapshot in the log was looked up; null if there is none. */
    record NewestSnapshot(SnapshotSchedule.@Nullable Saved newest) implements SpreadInput {}

    /** A snapshot was appended, or the append or the lookup before it failed. */
    record SnapshotSaved(Position position, boolean succeeded) implements SpreadInput {}
}
