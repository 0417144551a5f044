package org.azurearch.spread;

/** This node's status in the distribution of configuration; reads never block. */
public interface SpreadStatus {
    /** Returns whether the node has a complete accepted configuration in force. */
    boolean ready();

    /** Returns the position that the node has folded up to. */
    Position position();

    /** Returns the source of the last update of the state. */
    StateSource source();

    /** Returns whether the node reads the log for its data centre. */
    boolean reader();

    /** Returns why the node is not ready or not up to date; empty if it is both. */
    String reason();

    /** Returns the name of the policy in use. */
    String policy();
}
