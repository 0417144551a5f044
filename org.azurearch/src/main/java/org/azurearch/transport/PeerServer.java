package org.azurearch.transport;

import org.azurearch.lib.NetAddress;
import org.azurearch.thrift.PeerRequest;

/** Receives requests from peers and dispatches them to handlers. */
public interface PeerServer extends AutoCloseable {
    /** Registers the handler of a kind of request; requests without a handler are refused. */
    void registerHandler(PeerRequest._Fields kind, PeerHandler handler);

    /** Registers the handler of a kind of request whose replies are not available at once. */
    void registerAsyncHandler(PeerRequest._Fields kind, AsyncPeerHandler handler);

    /** Returns the address that the server listens on. */
    NetAddress address();

    @Override
    void close();
}
