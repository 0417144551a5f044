package org.azurearch.spread;

/** Where the state of a node came from last. */
public enum StateSource {
    /** There is no state yet. */
    NONE,
    /** Records read from the log. */
    LOG,
    /** A snapshot read from the log. */
    LOG_SNAPSHOT,
    /** A delta that another node pushed. */
    PUSH,
    /** A delta that this node pulled from another one. */
    PULL,
    /** A snapshot fetched from another node. */
    PEER_SNAPSHOT
}
