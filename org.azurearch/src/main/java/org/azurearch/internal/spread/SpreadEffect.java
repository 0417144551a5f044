package org.azurearch.internal.spread;

import java.time.Duration;
import java.util.List;
import org.azurearch.events.EventCode;
import org.azurearch.fold.FoldState;
import org.azurearch.lib.Digest;
import org.azurearch.lib.NodeId;
import org.azurearch.spread.Position;
import org.azurearch.spread.StateSource;

/** What the distribution core wants done. */
sealed interface SpreadEffect {
    /** Read the change stream; the log may hold the answer back for a time until a record comes. */
    record ReadLog(long offset, Duration maxWait) implements SpreadEffect {}

    /** Push a delta. */
    record Push(NodeId to, Delta delta, List<NodeId> subtree) implements SpreadEffect {}

    /** Ask a node for what follows a position. */
    record Pull(NodeId to, Position position, int maxBytes) implements SpreadEffect {}

    /** Ask a node for the manifest of its snapshot. */
    record FetchManifest(NodeId to) implements SpreadEffect {}

    /** Ask a node for a chunk. */
    record FetchChunk(NodeId to, Digest digest) implements SpreadEffect {}

    /** Read the snapshot stream without waiting for records. */
    record ReadSnapshots(long offset, int maxBytes) implements SpreadEffect {}

    /** Look up the newest snapshot of the log. */
    record FindNewestSnapshot() implements SpreadEffect {}

    /** Append a snapshot to the log. */
    record SaveSnapshot(FoldState state) implements SpreadEffect {}

    /** A state came into force. */
    record Installed(FoldState state, StateSource source) implements SpreadEffect {}

    /** Write an event. */
    record Report(EventCode event, List<Object> arguments) implements SpreadEffect {}
}
