package org.azurearch.standin.proxy;

/** Chooses the fault of each connection. */
@FunctionalInterface
public interface FaultPlan {
    /**
     * Returns the fault of a new connection.
     *
     * @param connection the index of the connection, counted from 0
     */
    ProxyFault faultOf(int connection);
}
