package org.azurearch.node.admin;

/** The operations that a token permits. Each role includes those before it. */
public enum Role {
    /** Reads the firm's configuration and status. */
    READER,
    /** Publishes documents and undoes changes. */
    PUBLISHER,
    /** Drains backend servers, releases contained requests and raises the rule set. */
    OPERATOR;

    /** Returns whether this role includes another one. */
    public boolean includes(Role other) {
        return compareTo(other) >= 0;
    }
}
