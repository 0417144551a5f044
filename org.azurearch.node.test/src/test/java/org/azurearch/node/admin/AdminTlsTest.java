package org.azurearch.node.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.util.List;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;
import org.azurearch.admin.AdminClient;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.lib.NetAddress;
import org.azurearch.node.NodeDaemon;
import org.azurearch.settings.SettingsFile;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The administration API over TLS. */
class AdminTlsTest {
    private static final String PASSWORD = "changeit";

    @TempDir Path mFolder;

    @Test
    void onlyClientThatTrustsCertificateConnects() throws Exception {
        Path keyStore = createKeyStore();
        String settings =
                String.join(
                        "\n",
                        "node: {mesh: test, id: n1, dataCentre: rennes, region: bretagne}",
                        "log: {address: \"127.0.0.1:1\"}",
                        "peers: {listen: \"127.0.0.1:0\", key: \"" + "ab".repeat(32) + "\"}",
                        "calls: {listen: \"127.0.0.1:0\"}",
                        "admin:",
                        "  listen: \"127.0.0.1:0\"",
                        "  tls: {keyStore: \"" + keyStore + "\", password: " + PASSWORD + "}",
                        "");
        try (NodeDaemon node =
                new NodeDaemon(
                        SettingsFile.parse(
                                "tls.yaml", settings.getBytes(StandardCharsets.UTF_8)))) {
            List<NetAddress> address = List.of(node.adminAddress());
            assertEquals(
                    "{\"status\":\"up\"}",
                    new AdminClient(address, "", contextTrusting(keyStore))
                            .get("/v1/health", String.class));
            AzurearchException refused =
                    assertThrows(
                            AzurearchException.class,
                            () ->
                                    new AdminClient(address, "", SSLContext.getDefault())
                                            .get("/v1/health", String.class));
            assertEquals(ErrorCode.PEER_UNAVAILABLE, refused.code());
        }
    }

    private Path createKeyStore() throws IOException, InterruptedException {
        Path file = mFolder.resolve("admin.p12");
        String keytool = Path.of(System.getProperty("java.home"), "bin", "keytool").toString();
        Process process =
                new ProcessBuilder(
                                keytool,
                                "-genkeypair",
                                "-keyalg",
                                "EC",
                                "-alias",
                                "admin",
                                "-dname",
                                "CN=127.0.0.1",
                                "-ext",
                                "SAN=IP:127.0.0.1",
                                "-storetype",
                                "PKCS12",
                                "-storepass",
                                PASSWORD,
                                "-keystore",
                                file.toString())
                        .redirectErrorStream(true)
                        .start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(0, process.waitFor(), output);
        return file;
    }

    private static SSLContext contextTrusting(Path keyStore)
            throws IOException, GeneralSecurityException {
        KeyStore own = KeyStore.getInstance("PKCS12");
        try (InputStream in = Files.newInputStream(keyStore)) {
            own.load(in, PASSWORD.toCharArray());
        }
        KeyStore trusted = KeyStore.getInstance("PKCS12");
        trusted.load(null, null);
        trusted.setCertificateEntry("admin", own.getCertificate("admin"));
        TrustManagerFactory trust =
                TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
        trust.init(trusted);
        SSLContext context = SSLContext.getInstance("TLS");
        context.init(null, trust.getTrustManagers(), null);
        return context;
    }
}
