package org.azurearch.sidecar.internal.mesh;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.azurearch.sidecar.config.RequestLimits;
import org.azurearch.sidecar.config.RoutingConfig;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a version that is taken for the newest though a peer has told of a newer one. */
class ConfigHolderTest {
    private static final long APPLY_MILLIS = 60_000;

    private final ConfigHolder mConfigs =
            new ConfigHolder(ConfigHolderTest::configuration, APPLY_MILLIS);

    @BeforeEach
    void install() {
        mConfigs.install("5".getBytes(StandardCharsets.UTF_8), "node");
    }

    @Test
    void peerWithTheSameVersionConfirmsIt() {
        assertTrue(mConfigs.expired(System.nanoTime()));
        mConfigs.confirmed(5, System.nanoTime(), "peer");
        assertFalse(mConfigs.expired(System.nanoTime()));
    }

    @Test
    void replyThatIsOldConfirmsNothing() {
        mConfigs.confirmed(
                5, System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(APPLY_MILLIS), "peer");
        assertTrue(mConfigs.expired(System.nanoTime()));
    }

    @Test
    void laggingPeerConfirmsNothingWhileNewerVersionIsAwaited() {
        mConfigs.announced(6);
        mConfigs.confirmed(5, System.nanoTime(), "peer");
        assertTrue(mConfigs.expired(System.nanoTime()));
    }

    /** Guards against nodes that are never confirmed, as changes follow one another. */
    @Test
    void newerVersionOfPeerIsConfirmedOnceItIsInForce() {
        mConfigs.announced(6);
        mConfigs.confirmed(6, System.nanoTime(), "peer");
        assertTrue(mConfigs.expired(System.nanoTime()));
        mConfigs.install("6".getBytes(StandardCharsets.UTF_8), "node");
        assertFalse(mConfigs.expired(System.nanoTime()));
    }

    private static RoutingConfig configuration(byte[] version) {
        return new RoutingConfig(
                Long.parseLong(new String(version, StandardCharsets.UTF_8)),
                new RequestLimits(1, 1, 1, 1),
                Map.of(),
                List.of(),
                List.of());
    }
}
