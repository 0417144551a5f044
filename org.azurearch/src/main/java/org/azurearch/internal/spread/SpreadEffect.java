package org.azurearch.internal.spread;

import java.time.Duration;
import java.util.List;
import org.azurearch.events.EventCode;
import org.azurearch.fold.FoldState;
import org.azurearch.lib.Digest;
import org.azurearch.lib.NodeId;
import org.azurearch.spread.Position;
import org.azurearch.spread.StateSource;

/** An action that the distribution core requests from its runner. */
sealed interface SpreadEffect {
    /**
     * Read the change stream; the log may delay the reply up to the wait until a record arrives.
     */
    record ReadLog(long offset, Duration maxWait) implements SpreadEffect {}

    /** Push a delta to a node, which forwards it to the subtree. */
    record Push(NodeId to, Delta delta, List<NodeId> subtree) implements SpreadEffect {}

    /** Request the records that follow a position from a node. */
    record Pull(NodeId to, Position position, int maxBytes) implements SpreadEffect {}

    /** Request the manifest of a snapshot from a node. */
    record FetchManifest(NodeId to) implements SpreadEffect {}

    /** Request a chunk of a snapshot from a node. */
    record FetchChunk(NodeId to, Digest digest) implements SpreadEffect {}

    /** Read the snapshot stream without waiting for records. */
    record ReadSnapshots(long offset, int maxBytes) implements SpreadEffect {}

    /** Look up the newest snapshot in the log. */
    record FindNewestSnapshot() implements SpreadEffect {}

    /** Append a snapshot to the log. */
    record SaveSnapshot(FoldState state) implements SpreadEffect {}

    /** Put a state in force. */
    record Installed(FoldState state, StateSource source) implements SpreadEffect {}

    /** Log an event. */
    record Report(EventCode event, List<Object> arguments) implements SpreadEffect {}
}
