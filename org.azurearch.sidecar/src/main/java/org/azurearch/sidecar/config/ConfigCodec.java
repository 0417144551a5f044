package org.azurearch.sidecar.config;

/** Decodes configurations in the format in which the platform stores them. */
public interface ConfigCodec {
    /**
     * Decodes a configuration.
     *
     * @param content the stored bytes
     * @throws RuntimeException if the content is not a valid configuration
     */
    RoutingConfig decode(byte[] content);
}
