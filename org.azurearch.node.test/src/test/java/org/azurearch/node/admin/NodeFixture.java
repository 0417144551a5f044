package org.azurearch.node.admin;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.azurearch.admin.AdminClient;
import org.azurearch.lib.Digest;
import org.azurearch.lib.NetAddress;
import org.azurearch.node.NodeDaemon;
import org.azurearch.settings.SettingsFile;
import org.azurearch.standin.log.LogServer;
import org.azurearch.standin.log.LogServerOptions;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;

/** Starts a log and one node that all tests of a class share. */
abstract class NodeFixture {
    static final String REGIE_OPERATOR = "regie-operator";
    static final String REGIE_READER = "regie-reader";
    static final String RENNES_PUBLISHER = "rennes-publisher";
    static final String KORERO_OPERATOR = "korero-operator";

    private static final String KEY = "ab".repeat(32);
    private static LogServer sLog;
    private static NodeDaemon sNode;

    @BeforeAll
    static void start() {
        sLog = LogServer.start(new NetAddress("127.0.0.1", 0), LogServerOptions.DEFAULT);
        String settings =
                String.join(
                        "\n",
                        "node: {mesh: test, id: n1, dataCentre: rennes, region: bretagne}",
                        "log: {address: \"" + sLog.address() + "\"}",
                        "peers: {listen: \"127.0.0.1:0\", key: \"" + KEY + "\"}",
                        "calls: {listen: \"127.0.0.1:0\"}",
                        "admin:",
                        "  listen: \"127.0.0.1:0\"",
                        "  tokens:",
                        token(REGIE_OPERATOR, "operator", "regie", ""),
                        token(REGIE_READER, "reader", "regie", ""),
                        token(RENNES_PUBLISHER, "publisher", "regie", ", sites: [rennes]"),
                        token(KORERO_OPERATOR, "operator", "korero", ""),
                        "");
        sNode =
                new NodeDaemon(
                        SettingsFile.parse("test.yaml", settings.getBytes(StandardCharsets.UTF_8)));
    }

    @AfterAll
    static void stop() {
        sNode.close();
        sLog.close();
    }

    /** Returns the running node. */
    static NodeDaemon node() {
        return sNode;
    }

    /** Returns a client that sends this token, or none if it is empty. */
    static AdminClient client(String token) {
        return new AdminClient(List.of(sNode.adminAddress()), token, null);
    }

    private static String token(String text, String role, String firm, String sites) {
        String hash = Digest.of(text.getBytes(StandardCharsets.UTF_8)).name();
        return "    - {operator: "
                + text
                + ", sha256: \""
                + hash
                + "\", role: "
                + role
                + ", firm: "
                + firm
                + sites
                + "}";
    }
}
