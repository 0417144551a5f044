package org.azurearch.internal.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.Key;
import java.security.KeyStore;
import java.security.cert.Certificate;
import java.util.Base64;
import java.util.Map;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;
import org.azurearch.errors.AzurearchException;
import org.azurearch.internal.call.RawClient.Answer;
import org.azurearch.lib.NetAddress;
import org.azurearch.settings.SettingsSection;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests calls over TLS, from the caller and between nodes. */
class TlsTest {
    private static final char[] PASSWORD = "password".toCharArray();

    @TempDir private Path mDirectory;

    @Test
    void callsGoOverTlsThroughTwoNodes() throws Exception {
        KeyStore store = newIdentity();
        FakeMesh mesh = new FakeMesh();
        mesh.mCallSettings.put(
                "tls",
                Map.of(
                        "certificate", mDirectory.resolve("cert.pem").toString(),
                        "key", mDirectory.resolve("key.pem").toString()));
        try (mesh;
                RawServer server = new RawServer()) {
            FakeMesh.Node entry = mesh.start("entry");
            mesh.start("destination").announceBackend(server.address(), 20);
            NetAddress address = entry.address();
            try (RawClient client =
                    new RawClient(
                            trusting(store)
                                    .getSocketFactory()
                                    .createSocket(address.host(), address.port()))) {
                client.send(RawClient.get("/stock"));
                Answer answer = client.read();
                assertEquals("200 ok", answer.status() + " " + answer.body());
            }
            Answer plain = RawClient.call(address, RawClient.get("/stock"));
            assertEquals(0, plain.status(), "a plaintext caller gets no answer");
            assertEquals(1, server.mRequestCount.get());
        }
    }

    @Test
    void missingCertificateIsRejected() {
        SettingsSection settings =
                new SettingsSection(
                        "",
                        Map.of(
                                "calls",
                                Map.of("tls", Map.of("certificate", "none.pem", "key", "k.pem"))));
        assertThrows(AzurearchException.class, () -> TlsContexts.from(settings));
    }

    private KeyStore newIdentity() throws Exception {
        Path file = mDirectory.resolve("identity.p12");
        Process keytool =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "keytool")
                                        .toString(),
                                "-genkeypair",
                                "-keyalg",
                                "EC",
                                "-alias",
                                "node",
                                "-dname",
                                "CN=node",
                                "-storetype",
                                "PKCS12",
                                "-keystore",
                                file.toString(),
                                "-storepass",
                                new String(PASSWORD))
                        .inheritIO()
                        .start();
        assertEquals(0, keytool.waitFor());
        KeyStore store = KeyStore.getInstance("PKCS12");
        try (InputStream in = Files.newInputStream(file)) {
            store.load(in, PASSWORD);
        }
        Certificate certificate = store.getCertificate("node");
        Key key = store.getKey("node", PASSWORD);
        write("cert.pem", "CERTIFICATE", certificate.getEncoded());
        write("key.pem", "PRIVATE KEY", key.getEncoded());
        KeyStore trust = KeyStore.getInstance("PKCS12");
        trust.load(null, null);
        trust.setCertificateEntry("node", certificate);
        return trust;
    }

    private void write(String file, String type, byte[] content) throws Exception {
        String body = Base64.getMimeEncoder(64, new byte[] {'\n'}).encodeToString(content);
        Files.writeString(
                mDirectory.resolve(file),
                "-----BEGIN " + type + "-----\n" + body + "\n-----END " + type + "-----\n");
    }

    private static SSLContext trusting(KeyStore store) throws Exception {
        TrustManagerFactory factory =
                TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
        factory.init(store);
        SSLContext context = SSLContext.getInstance("TLS");
        context.init(null, factory.getTrustManagers(), null);
        return context;
    }
}
