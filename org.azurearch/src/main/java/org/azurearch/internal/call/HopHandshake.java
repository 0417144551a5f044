package org.azurearch.internal.call;

import org.azurearch.lib.NodeId;

/**
 * The handshake with which two nodes authenticate each other on a new connection: each proves that
 * it holds the mesh's key by signing both node IDs and both nonces. The nonces prevent replay.
 *
 * @param client the ID of the node that opened the connection
 * @param clientNonce the client's nonce
 * @param server the ID of the node that accepted the connection
 * @param serverNonce the server's nonce
 */
record HopHandshake(String client, String clientNonce, String server, String serverNonce) {
    /** The request target of the handshake. */
    static final String PATH = "/.azurearch/hop";

    /** The header with the node ID and nonce, followed in the answer by the server's proof. */
    static final String HELLO = "azurearch-hop-hello";

    /** The header with the client's proof. */
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

    /** Returns whether the server is the expected node and its proof is valid. */
    boolean verifiesServer(MeshKeys.Signer signer, NodeId expected, String proof) {
        return server.equals(expected.name()) && signer.verify(SERVER_PURPOSE, text(), proof);
    }

    /** Returns whether the client's proof is valid. */
    boolean verifiesClient(MeshKeys.Signer signer, String proof) {
        return signer.verify(CLIENT_PURPOSE, text(), proof);
    }

    private String text() {
        return String.join("|", client, clientNonce, server, serverNonce);
    }
}
