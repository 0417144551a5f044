package org.azurearch.pgm.internal;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;

/** Loads trusted certificates into a TLS context. */
public final class TrustStore {
    private TrustStore() {}

    /**
     * Returns a TLS context that trusts the certificates of a PKCS #12 file.
     *
     * @param file the file
     * @param password its password
     * @throws AzurearchException with {@code USAGE} when the file cannot be used
     */
    public static SSLContext load(Path file, String password) {
        try (InputStream in = Files.newInputStream(file)) {
            KeyStore store = KeyStore.getInstance("PKCS12");
            store.load(in, password.toCharArray());
            TrustManagerFactory trustManagers =
                    TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
            trustManagers.init(store);
            SSLContext context = SSLContext.getInstance("TLS");
            context.init(null, trustManagers.getTrustManagers(), null);
            return context;
        } catch (IOException | GeneralSecurityException e) {
            throw new AzurearchException(
                    ErrorCode.USAGE, "cannot load the trust store " + file + ": " + e, e);
        }
    }
}
