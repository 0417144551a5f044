package org.azurearch.spread;

import java.time.Duration;

/** How eagerly versions are spread: the trade between convergence time and control bytes. */
public interface SpreadPolicy {
    /** Returns the name in the settings. */
    String name();

    /** Says whether every node reads the log by itself, without any exchange between nodes. */
    boolean everyNodeReads();

    /** Returns how long a reader gathers records before it pushes them. */
    Duration batchWindow();

    /** Returns how many nodes a node pushes to. */
    int fanOut();

    /** Returns the mean time between two anti-entropy pulls of a node. */
    Duration antiEntropyPeriod();

    /** Returns the longest that a node waits before it reports a position that was pushed to it. */
    Duration reportDelay();

    /** Returns the zstd level for snapshots that are served to peers. */
    int compressionLevel();
}
