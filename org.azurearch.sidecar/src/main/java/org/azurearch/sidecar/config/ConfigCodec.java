package org.azurearch.sidecar.config;

/** Reads configurations as the platform keeps them. */
public interface ConfigCodec {
    /**
     * Reads a configuration.
     *
     * @param content the stored bytes
     * @throws RuntimeException when the content is not a valid configuration
     */
    RoutingConfig decode(byte[] content);
}
