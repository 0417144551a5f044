package org.azurearch.internal.member;

import java.time.Duration;
import java.util.List;
import org.azurearch.errors.AzurearchException;
import org.azurearch.events.EventLog;
import org.azurearch.thrift.PeerReply;
import org.azurearch.thrift.PeerRequest;
import org.azurearch.thrift.WireIndirectPing;
import org.azurearch.thrift.WirePing;
import org.azurearch.thrift.WirePong;
import org.azurearch.transport.PeerClient;
import org.jspecify.annotations.Nullable;

/** Executes the effects decided by the membership and passes the replies back to it. */
final class EffectRunner {
    private static final Duration GOSSIP_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration SYNC_TIMEOUT = Duration.ofSeconds(10);

    /** Receives the replies; called on the transport's threads. */
    interface ReplyHandler {
        /** Handles the reply to a probe, or its failure. */
        void handleProbeReply(long probe, boolean alive, Gossip gossip);

        /** Handles the reply to a synchronisation; null if it failed. */
        void handleSyncReply(MemberEffect.Synchronise effect, @Nullable SyncReply reply);

        /** Handles gossip in the reply to a {@link MemberEffect.SendGossip}. */
        void handleGossip(Gossip gossip);
    }

    private final PeerClient mClient;
    private final Duration mProbeTimeout;
    private final ReplyHandler mReplyHandler;

    EffectRunner(PeerClient client, MemberPolicy policy, ReplyHandler replyHandler) {
        mClient = client;
        mProbeTimeout = Duration.ofMillis(policy.probePeriodMillis());
        mReplyHandler = replyHandler;
    }

    void run(List<MemberEffect> effects) {
        effects.forEach(this::run);
    }

    private void run(MemberEffect effect) {
        if (effect instanceof MemberEffect.Probe probe) {
            probe(probe);
        } else if (effect instanceof MemberEffect.IndirectProbe probe) {
            probeIndirectly(probe);
        } else if (effect instanceof MemberEffect.SendGossip sendGossip) {
            sendGossip(sendGossip);
        } else if (effect instanceof MemberEffect.Synchronise synchronise) {
            synchronise(synchronise);
        }
    }

    private void probe(MemberEffect.Probe effect) {
        mClient.send(
                        effect.target().peer(),
                        pingRequest(effect.target().node().name(), effect.gossip()),
                        mProbeTimeout)
                .whenComplete((reply, failure) -> handleProbeReply(effect.probe(), reply));
    }

    private void probeIndirectly(MemberEffect.IndirectProbe effect) {
        WireIndirectPing wire =
                new WireIndirectPing(
                        effect.target().node().name(), MemberWire.write(effect.target().peer()));
        mClient.send(effect.via().peer(), PeerRequest.indirectPing(wire), mProbeTimeout)
                .whenComplete(
                        (reply, failure) -> {
                            if (reply != null && reply.isSetPong()) {
                                handleProbeReply(effect.probe(), reply);
                            }
                        });
    }

    private void sendGossip(MemberEffect.SendGossip effect) {
        mClient.send(
                        effect.target().peer(),
                        pingRequest(effect.target().node().name(), effect.gossip()),
                        GOSSIP_TIMEOUT)
                .thenAccept(reply -> handleGossipReply(reply));
    }

    private void synchronise(MemberEffect.Synchronise effect) {
        PeerRequest request = PeerRequest.sync(MemberWire.write(effect.request()));
        mClient.send(effect.target(), request, SYNC_TIMEOUT)
                .whenComplete(
                        (reply, failure) ->
                                mReplyHandler.handleSyncReply(effect, syncReplyOf(reply)));
    }

    private static @Nullable SyncReply syncReplyOf(@Nullable PeerReply reply) {
        if (reply == null || !reply.isSetSync()) {
            return null;
        }
        try {
            return MemberWire.read(reply.getSync());
        } catch (AzurearchException e) {
            EventLog.log(MemberEvent.REPLY_MALFORMED, String.valueOf(e.getMessage()));
            return null;
        }
    }

    /**
     * Any reply, even a refusal because it is busy, shows that the node is alive, unless a pong
     * reports that it is not.
     */
    private void handleProbeReply(long probe, @Nullable PeerReply reply) {
        if (reply == null) {
            mReplyHandler.handleProbeReply(probe, false, Gossip.NONE);
        } else if (reply.isSetPong()) {
            WirePong pong = reply.getPong();
            mReplyHandler.handleProbeReply(probe, pong.isAlive(), gossipOf(pong));
        } else {
            mReplyHandler.handleProbeReply(probe, true, Gossip.NONE);
        }
    }

    private void handleGossipReply(PeerReply reply) {
        if (reply.isSetPong() && reply.getPong().isSetGossip()) {
            mReplyHandler.handleGossip(gossipOf(reply.getPong()));
        }
    }

    /** Ignores malformed gossip, since the reply still shows that the node is alive. */
    private static Gossip gossipOf(WirePong pong) {
        try {
            return MemberWire.read(pong.getGossip());
        } catch (AzurearchException e) {
            EventLog.log(MemberEvent.REPLY_MALFORMED, String.valueOf(e.getMessage()));
            return Gossip.NONE;
        }
    }

    static PeerRequest pingRequest(String target, Gossip gossip) {
        WirePing wire = new WirePing(target);
        if (!gossip.isEmpty()) {
            wire.setGossip(MemberWire.write(gossip));
        }
        return PeerRequest.ping(wire);
    }
}
