package org.azurearch.standin.proxy;

/** Chooses the fault of each connection. */
@FunctionalInterface
public interface FaultPlan {
    /**
     * Returns the fault of a new connection.
     *
     * @param connection counts the connections of the proxy from 0
     */
    ProxyFault faultOf(int connection);
}
