package org.azurearch.spread;

/** The source of the last update of a node's state. */
public enum StateSource {
    /** The node has no state yet. */
    NONE,
    /** Records read from the log. */
    LOG,
    /** A snapshot read from the log. */
    LOG_SNAPSHOT,
    /** A delta pushed by a peer. */
    PUSH,
    /** A delta pulled from a peer. */
    PULL,
    /** A snapshot fetched from a peer. */
    PEER_SNAPSHOT
}
