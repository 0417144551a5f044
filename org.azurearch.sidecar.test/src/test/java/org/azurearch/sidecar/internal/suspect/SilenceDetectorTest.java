package org.azurearch.sidecar.internal.suspect;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.azurearch.junit.Await;
import org.azurearch.sidecar.call.HopCall;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Health checks of a run of the backend server that has been silent. */
class SilenceDetectorTest {
    private static final HopCall CALL =
            new HopCall(1, "GET", "/", List.of(), new byte[0], 0, 0, 1, "stock", "route", true);

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop mLoop = mGroup.next();
    private final List<Consumer<Boolean>> mChecks = new CopyOnWriteArrayList<>();
    private final List<List<HopCall>> mSilent = new CopyOnWriteArrayList<>();

    private SilenceDetector start() {
        SilenceDetector detector =
                new SilenceDetector(
                        mLoop,
                        1,
                        new SilenceDetector.Listener() {
                            @Override
                            public void check(Consumer<Boolean> answered) {
                                mChecks.add(answered);
                            }

                            @Override
                            public void fellSilent(List<HopCall> requests) {
                                mSilent.add(requests);
                            }
                        });
        mLoop.execute(() -> detector.sent(CALL));
        Await.until("a check is sent", () -> mChecks.size() == 1);
        return detector;
    }

    @AfterEach
    void stop() {
        mGroup.shutdownGracefully();
    }

    @Test
    void serverThatDoesNotAnswerTheCheckIsSilent() throws Exception {
        start();
        onLoop(() -> mChecks.get(0).accept(false));
        assertEquals(List.of(List.of(CALL)), mSilent);
    }

    /** Guards against a new server that is given up for the silence of the one before it. */
    @Test
    void checkThatIsPendingWhenTheServerIsReplacedIsIgnored() throws Exception {
        SilenceDetector detector = start();
        onLoop(() -> assertEquals(List.of(CALL), detector.stop()));
        onLoop(() -> mChecks.get(0).accept(false));
        assertEquals(List.of(), mSilent);
    }

    private void onLoop(Runnable task) throws Exception {
        CompletableFuture.runAsync(task, mLoop).get();
    }
}
