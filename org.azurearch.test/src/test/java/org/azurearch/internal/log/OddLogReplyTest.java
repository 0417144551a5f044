package org.azurearch.internal.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.junit.OddAnswer;
import org.azurearch.junit.OneShotServer;
import org.azurearch.lib.NetAddress;
import org.azurearch.lib.StreamId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against bytes that are taken for a reply of the log. */
class OddLogReplyTest {
    private static final long TIMEOUT_SECONDS = 20;
    private static final StreamId STREAM = StreamId.fromString("mesh.changes");

    @ParameterizedTest
    @EnumSource(OddAnswer.class)
    void outcomeOfAppendIsUnknown(OddAnswer odd) throws Exception {
        try (OneShotServer server = new OneShotServer(replyWithOffset(odd));
                HttpLogClient client =
                        new HttpLogClient(
                                new LogSettings(
                                        new NetAddress("127.0.0.1", server.port()),
                                        Duration.ofSeconds(5)))) {
            CompletableFuture<Long> offset = client.append(STREAM, new byte[1]);
            ExecutionException failure =
                    assertThrows(
                            ExecutionException.class,
                            () -> offset.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
            AzurearchException error =
                    assertInstanceOf(AzurearchException.class, failure.getCause());
            assertEquals(ErrorCode.LOG_RESULT_UNKNOWN, error.code());
        }
    }

    /** Returns the form with a body that would be the reply to an append. */
    private static String replyWithOffset(OddAnswer odd) {
        return odd.text("")
                .replace("body", "{\"offset\":7}")
                .replace(": 4", ": 12")
                .replace("4\r\n{", "c\r\n{");
    }
}
