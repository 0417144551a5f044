package org.azurearch.spread;

import java.time.Duration;

/** Parameters of configuration distribution that trade convergence time for control traffic. */
public interface SpreadPolicy {
    /** Returns the value of the setting {@code spread.policy}. */
    String name();

    /** Returns whether every node reads the log itself, without exchange between nodes. */
    boolean everyNodeReads();

    /** Returns how long a reader collects records before it pushes them. */
    Duration batchWindow();

    /** Returns the maximum number of nodes that a node pushes to directly. */
    int fanOut();

    /** Returns the mean interval between the anti-entropy pulls of a node. */
    Duration antiEntropyPeriod();

    /** Returns the maximum delay before a node reports the position it reached by a push. */
    Duration reportDelay();

    /** Returns the zstd compression level for snapshots served to peers. */
    int compressionLevel();
}
