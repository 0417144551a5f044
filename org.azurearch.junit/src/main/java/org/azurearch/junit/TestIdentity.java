package org.azurearch.junit;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.util.Base64;
import java.util.concurrent.TimeUnit;

/**
 * A self-signed TLS identity for a test, as PEM files.
 *
 * @param certificate the certificate, also its own trust anchor
 * @param key the private key, PKCS #8
 */
public record TestIdentity(Path certificate, Path key) {
    private static final String ALIAS = "node";
    private static final String PASSWORD = "password";
    private static final int LINE_CHARS = 64;
    private static final long KEYTOOL_TIMEOUT_SECONDS = 60;

    /**
     * Creates an identity with the JDK's {@code keytool}.
     *
     * @param directory the directory for the files
     * @param name the prefix of the file names
     */
    public static TestIdentity create(Path directory, String name)
            throws IOException, GeneralSecurityException, InterruptedException {
        Path store = directory.resolve(name + ".p12");
        Process tool = startKeytool(store);
        if (!tool.waitFor(KEYTOOL_TIMEOUT_SECONDS, TimeUnit.SECONDS) || tool.exitValue() != 0) {
            throw new IOException("keytool failed");
        }
        KeyStore keys = KeyStore.getInstance("PKCS12");
        try (InputStream in = Files.newInputStream(store)) {
            keys.load(in, PASSWORD.toCharArray());
        }
        byte[] key = keys.getKey(ALIAS, PASSWORD.toCharArray()).getEncoded();
        return new TestIdentity(
                writePem(
                        directory,
                        name + "-cert",
                        "CERTIFICATE",
                        keys.getCertificate(ALIAS).getEncoded()),
                writePem(directory, name + "-key", "PRIVATE KEY", key));
    }

    private static Process startKeytool(Path store) throws IOException {
        Path tool = Path.of(System.getProperty("java.home"), "bin", "keytool");
        return new ProcessBuilder(
                        tool.toString(),
                        "-genkeypair",
                        "-keyalg",
                        "EC",
                        "-alias",
                        ALIAS,
                        "-dname",
                        "CN=node",
                        "-storetype",
                        "PKCS12",
                        "-storepass",
                        PASSWORD,
                        "-keystore",
                        store.toString())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
    }

    private static Path writePem(Path directory, String name, String label, byte[] content)
            throws IOException {
        String body = Base64.getMimeEncoder(LINE_CHARS, new byte[] {'\n'}).encodeToString(content);
        String text = "-----BEGIN " + label + "-----\n" + body + "\n-----END " + label + "-----\n";
        return Files.writeString(directory.resolve(name + ".pem"), text);
    }
}
