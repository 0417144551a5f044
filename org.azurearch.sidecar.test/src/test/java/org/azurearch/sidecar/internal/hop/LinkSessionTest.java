package org.azurearch.sidecar.internal.hop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.azurearch.errors.ErrorCode;
import org.azurearch.junit.Await;
import org.azurearch.lib.NetAddress;
import org.azurearch.sidecar.call.Attempt;
import org.azurearch.sidecar.call.AttemptFailure;
import org.azurearch.sidecar.call.BackendAnswer;
import org.azurearch.sidecar.call.HopCall;
import org.azurearch.sidecar.route.EndpointLoad;
import org.azurearch.thrift.HopFrame;
import org.azurearch.thrift.WireHopAnswer;
import org.azurearch.thrift.WireHopSessionReply;
import org.azurearch.thrift.WireLoad;
import org.azurearch.thrift.WireNodeRecords;
import org.azurearch.thrift.WirePulse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The calls of a link whose peer is silent, or whose connection is lost. */
class LinkSessionTest {
    private static final NetAddress ANY = new NetAddress("127.0.0.1", 0);
    private static final long RUN = 5;
    private static final long TICK_NANOS = 100_000_000L;

    /** More than the silence after which a link with calls under way is given up. */
    private static final long SILENCE_NANOS = 1_600_000_000L;

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop mLoop = mGroup.next();
    private final HopNetwork mNetwork = new HopNetwork(mLoop);
    private final ScriptedPeer mPeer = new ScriptedPeer();
    private final List<String> mOutcomes = Collections.synchronizedList(new ArrayList<>());
    private final List<String> mEvents = new CopyOnWriteArrayList<>();

    @AfterEach
    void stop() {
        mGroup.shutdownGracefully();
    }

    /** Guards against calls given up as their peer is late, while its server works on. */
    @Test
    void silenceEndsNoCall() throws Exception {
        HopLink link = openWithCall();
        mPeer.mMute = true;
        passSilence(link);
        assertFalse(onLoop(link::up));
        assertEquals(List.of("silent"), mOutcomes);
        onLoop(() -> mPeer.connection(0).send(answer(1)));
        Await.untilEquals(List.of("silent", "answered"), () -> mOutcomes);
        close(link);
    }

    @Test
    void peerThatIsHeardOnAnotherConnectionGivesTheOutcomeThere() throws Exception {
        HopLink link = openWithCall();
        mPeer.mReply = new WireHopSessionReply(RUN, 1, List.of(1L));
        passSilence(link);
        Await.until("the link is up again", () -> onLoop(link::up));
        assertEquals(List.of(List.of(), List.of(1L)), mPeer.mPending);
        Await.until("the silent connection is closed", () -> mPeer.mClosed == 1);
        assertEquals(List.of("silent"), mOutcomes);
        onLoop(() -> mPeer.connection(1).send(answer(1)));
        Await.untilEquals(List.of("silent", "answered"), () -> mOutcomes);
        close(link);
    }

    @Test
    void resetConnectionEndsNoCall() throws Exception {
        HopLink link = openWithCall();
        mPeer.mReply = new WireHopSessionReply(RUN, 1, List.of(1L));
        onLoop(mPeer.connection(0)::close);
        Await.until("the link is up again", () -> mEvents.equals(List.of("up", "down", "up")));
        assertEquals(List.of(), mOutcomes);
        onLoop(() -> mPeer.connection(1).send(answer(1)));
        Await.untilEquals(List.of("answered"), () -> mOutcomes);
        close(link);
    }

    /**
     * Guards against calls that are not sent elsewhere, as a suspended peer accepts connections.
     */
    @Test
    void silenceAfterResetIsReported() throws Exception {
        HopLink link = openWithCall();
        mPeer.mMute = true;
        onLoop(mPeer.connection(0)::close);
        Await.until("another connection is open", () -> mPeer.mConnections.size() > 1);
        passSilence(link);
        assertEquals(List.of("silent"), mOutcomes);
        close(link);
    }

    @Test
    void callThatNeverArrivedHasNotRun() throws Exception {
        HopLink link = openWithCall();
        mPeer.mReply = new WireHopSessionReply(RUN, 0, List.of());
        onLoop(mPeer.connection(0)::close);
        Await.untilEquals(List.of("not-run"), () -> mOutcomes);
        close(link);
    }

    @Test
    void callWhoseOutcomeThePeerHasDroppedMayHaveRun() throws Exception {
        HopLink link = openWithCall();
        mPeer.mReply = new WireHopSessionReply(RUN, 1, List.of());
        onLoop(mPeer.connection(0)::close);
        Await.untilEquals(List.of("may-have-run"), () -> mOutcomes);
        close(link);
    }

    /** Guards against a call of an earlier run that is taken for one that never arrived. */
    @Test
    void callOfEarlierRunOfPeerMayHaveRun() throws Exception {
        HopLink link = openWithCall();
        mPeer.mReply = new WireHopSessionReply(RUN + 1, 0, List.of());
        onLoop(mPeer.connection(0)::close);
        Await.untilEquals(List.of("may-have-run"), () -> mOutcomes);
        close(link);
    }

    @Test
    void callEndsOnceNothingListensAtTheAddressOfItsPeer() throws Exception {
        HopLink link = openWithCall();
        onLoop(mNetwork::close);
        onLoop(mPeer.connection(0)::close);
        Await.untilEquals(List.of("may-have-run"), () -> mOutcomes);
        close(link);
    }

    /** Guards against calls that never end, as a peer of an earlier version knows no sessions. */
    @Test
    void callAtPeerWithoutSessionsEndsWithItsConnection() throws Exception {
        mPeer.mReply = null;
        HopLink link = openWithCall();
        passSilence(link);
        Await.untilEquals(List.of("may-have-run"), () -> mOutcomes);
        close(link);
    }

    @Test
    void cancellationOfCallReachesThePeerOverTheSilentConnection() throws Exception {
        HopLink link = open();
        Attempt attempt = call(link);
        Await.until("the call arrives", () -> mPeer.count(HopFrame::isSetCall) == 1);
        mPeer.mMute = true;
        passSilence(link);
        onLoop(
                () -> {
                    assertFalse(attempt.cancel());
                });
        Await.until("the cancellation arrives", () -> mPeer.count(HopFrame::isSetCancel) > 0);
        assertEquals(List.of("silent"), mOutcomes);
        close(link);
    }

    @Test
    void closedLinkEndsItsCalls() throws Exception {
        HopLink link = openWithCall();
        mPeer.mMute = true;
        passSilence(link);
        close(link);
        Await.untilEquals(List.of("silent", "may-have-run"), () -> mOutcomes);
    }

    /** Opens a link with one call, which the peer has received and does not answer. */
    private HopLink openWithCall() throws Exception {
        HopLink link = open();
        call(link);
        Await.until("the call arrives", () -> mPeer.count(HopFrame::isSetCall) == 1);
        return link;
    }

    private HopLink open() throws Exception {
        NetAddress address = new NetAddress("127.0.0.1", mNetwork.listen(ANY, mPeer));
        HopLink[] link = new HopLink[1];
        onLoop(
                () ->
                        link[0] =
                                new HopLink(
                                        mNetwork, mLoop, "peer", true, address, new LinkEvents()));
        Await.until("the link is up", () -> mEvents.contains("up"));
        return link[0];
    }

    private Attempt call(HopLink link) throws Exception {
        HopCall call = new HopCall(1, "GET", "/", List.of(), new byte[0], 0, 0, 1, "s", "r", false);
        Attempt[] attempt = new Attempt[1];
        onLoop(() -> attempt[0] = link.call(call, new Outcome()));
        return attempt[0];
    }

    /** Ticks through a time in which nothing arrives and a ping is not replied to. */
    private void passSilence(HopLink link) throws Exception {
        long now = System.nanoTime();
        for (long tick = 0; tick <= SILENCE_NANOS; tick += TICK_NANOS) {
            long at = now + tick;
            onLoop(() -> link.tick(at));
        }
    }

    private void close(HopLink link) throws Exception {
        onLoop(link::close);
    }

    private static HopFrame answer(long id) {
        WireLoad load = new WireLoad(0, List.of(), 0, 0);
        return HopFrame.answer(
                new WireHopAnswer(id, 200, List.of(), ByteBuffer.allocate(0), load, 0));
    }

    private void onLoop(Runnable task) throws Exception {
        CompletableFuture.runAsync(task, mLoop).get();
    }

    private boolean onLoop(BooleanSupplier task) {
        return CompletableFuture.supplyAsync(task::getAsBoolean, mLoop).join();
    }

    /** Replies to sessions and other frames, but to no call. */
    private static final class ScriptedPeer implements HopConnection.Listener {
        private final List<HopConnection> mConnections = new CopyOnWriteArrayList<>();
        private final List<HopFrame> mFrames = new CopyOnWriteArrayList<>();
        private final List<List<Long>> mPending = new CopyOnWriteArrayList<>();
        private volatile WireHopSessionReply mReply = new WireHopSessionReply(RUN, 0, List.of());
        private volatile boolean mMute;
        private volatile int mClosed;

        HopConnection connection(int index) {
            return mConnections.get(index);
        }

        long count(Predicate<HopFrame> kind) {
            return mFrames.stream().filter(kind).count();
        }

        @Override
        public void opened(HopConnection connection) {
            mConnections.add(connection);
        }

        @Override
        public void received(HopConnection connection, HopFrame frame) {
            mFrames.add(frame);
            if (mMute || frame.isSetCall() || frame.isSetCancel()) {
                return;
            }
            if (frame.isSetSession()) {
                mPending.add(frame.getSession().getPending());
                if (mReply != null) {
                    connection.send(HopFrame.sessionReply(mReply));
                }
            } else {
                connection.send(HopFrame.records(new WireNodeRecords(List.of(), true)));
            }
        }

        @Override
        public void closed(HopConnection connection) {
            mClosed++;
        }
    }

    private final class Outcome implements Attempt.Listener {
        @Override
        public void answered(BackendAnswer answer) {
            mOutcomes.add("answered");
        }

        @Override
        public void failed(AttemptFailure failure) {
            assertTrue(failure.code() == ErrorCode.PEER_UNAVAILABLE);
            mOutcomes.add(failure.verdict().headerValue());
        }

        @Override
        public void peerSilent() {
            mOutcomes.add("silent");
        }
    }

    private final class LinkEvents implements HopLink.Listener {
        @Override
        public void connected(HopLink link) {
            link.send(HopFrame.pulse(new WirePulse(0, 0, false, 0)));
        }

        @Override
        public void connectionChanged(HopLink link, boolean up) {
            mEvents.add(up ? "up" : "down");
        }

        @Override
        public void usabilityChanged(HopLink link, boolean usable) {}

        @Override
        public void received(HopConnection connection, HopFrame frame) {}

        @Override
        public void loadReported(HopLink link, EndpointLoad load) {}
    }
}
