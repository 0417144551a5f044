package org.azurearch.node.admin;

/** What a token allows. Each role includes those before it. */
public enum Role {
    /** Reads the firm's configuration and status. */
    READER,
    /** Publishes and undoes changes. */
    PUBLISHER,
    /** Drains backend servers and releases contained requests. */
    OPERATOR;

    /** Says whether this role includes another one. */
    public boolean includes(Role other) {
        return compareTo(other) >= 0;
    }
}
