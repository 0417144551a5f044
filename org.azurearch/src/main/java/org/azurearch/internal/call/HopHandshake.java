package org.azurearch.internal.call;

import org.azurearch.lib.NodeId;

/**
 * What two nodes prove to each other on a new connection: that they hold the mesh's key, and who
 * they are. Each side chooses a nonce, so that a recorded exchange proves nothing later.
 *
 * @param client the node that opened the connection
 * @param clientNonce its nonce
 * @param server the node that accepted it
 * @param serverNonce its nonce
 */
record HopHandshake(String client, String clientNonce, String server, String serverNonce) {
    /** The request target of the exchange. */
    static final String PATH = "/.azurearch/hop";

    /** The header that carries node and nonce, and in the answer the server's proof. */
    static final String HELLO = "azurearch-hop-hello";

    /** The header that carries the client's proof. */
    static final String PROOF = "azurearch-hop-proof";

    private static final String SERVER_PURPOSE = "hop-server";
    private static final String CLIENT_PURPOSE = "hop-client";

    /** Returns the server's proof. */
    String serverProof(MeshKeys.Signer signer) {
        return signer.sign(SERVER_PURPOSE, text());
    }

    /** Returns the client's proof. */
    String clientProof(MeshKeys.Signer signer) {
        return signer.sign(CLIENT_PURPOSE, text());
    }

    /** Says whether the server is the node expected and holds the key. */
    boolean verifiesServer(MeshKeys.Signer signer, NodeId expected, String proof) {
        return server.equals(expected.name()) && signer.verify(SERVER_PURPOSE, text(), proof);
    }

    /** Says whether the client holds the key. */
    boolean verifiesClient(MeshKeys.Signer signer, String proof) {
        return signer.verify(CLIENT_PURPOSE, text(), proof);
    }

    private String text() {
        return String.join("|", client, clientNonce, server, serverNonce);
    }
}
