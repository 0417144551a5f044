package org.azurearch.transport;

import org.azurearch.lib.NetAddress;
import org.azurearch.thrift.PeerRequest;

/** Takes requests from other nodes and hands them to the handlers. */
public interface PeerServer extends AutoCloseable {
    /** Registers the handler of a kind of request; kinds without one are refused. */
    void registerHandler(PeerRequest._Fields kind, PeerHandler handler);

    /** Registers the handler of a kind of request whose replies take a while. */
    void registerAsyncHandler(PeerRequest._Fields kind, AsyncPeerHandler handler);

    /** Returns the address that the server listens on. */
    NetAddress address();

    @Override
    void close();
}
