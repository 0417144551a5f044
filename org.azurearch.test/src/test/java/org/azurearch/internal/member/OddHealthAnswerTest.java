package org.azurearch.internal.member;

import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.concurrent.TimeUnit;
import org.azurearch.junit.OddAnswer;
import org.azurearch.junit.OneShotServer;
import org.azurearch.lib.NetAddress;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a health check that takes bytes for the answer of a healthy server. The bytes of a
 * body do not count, as the status decides.
 */
class OddHealthAnswerTest {
    private static final long TIMEOUT_SECONDS = 20;

    @ParameterizedTest
    @EnumSource(value = OddAnswer.class, mode = EnumSource.Mode.MATCH_NONE, names = "CHUNK_.*")
    void serverCountsAsUnhealthy(OddAnswer odd) throws Exception {
        try (OneShotServer server = new OneShotServer(odd.text(""));
                HealthProbe probe = new HealthProbe()) {
            NetAddress address = new NetAddress("127.0.0.1", server.port());
            assertFalse(probe.probe(address, "/health").get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
    }
}
