package org.azurearch.spread;

/** How this node stands with the distribution of configuration; reads never block. */
public interface SpreadStatus {
    /** Says whether the node holds a whole accepted configuration. */
    boolean ready();

    /** Returns the position folded. */
    Position position();

    /** Returns where the state came from last. */
    StateSource source();

    /** Says whether the node reads the log for its data centre. */
    boolean reader();

    /** Returns why the node is not ready, or what holds it up; empty when nothing does. */
    String reason();

    /** Returns the name of the policy. */
    String policy();
}
