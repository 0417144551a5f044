package org.azurearch.sidecar.internal.suspect;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.azurearch.internal.call.RequestFingerprint;
import org.azurearch.sidecar.member.BackendRecord;
import org.azurearch.sidecar.member.NodeRecord;
import org.jspecify.annotations.Nullable;

/**
 * Requests that were lost together with the link to the node in front of their backend server. If
 * the whole VM is gone, the node cannot tell of the crash; then the requests are struck here. If
 * the link comes back, or the node with the same run of its backend server, there was none.
 * Confined to one thread.
 */
public final class PeerLosses {
    /** Time for a node to come back; a restart takes about half of it. */
    public static final Duration RETURN_TIME = Duration.ofMillis(2_500);

    /**
     * Time for a node to come back whose VM is there. Its record tells then whether the backend
     * server has crashed; a node that does not come back tells nothing of it.
     */
    static final Duration LONGEST_RESTART = Duration.ofSeconds(10);

    /**
     * Most peers that may be lost at about the same time to a request that crashes them. More are
     * lost to a cut or to nodes that are too slow to answer; requests in flight then are not the
     * cause, and striking each of them at all nodes would slow these further.
     */
    private static final int MAX_PEERS_LOST_TOGETHER = 4;

    /** Limit of the requests remembered. */
    private static final int MAX_LOST = 64;

    /** What is known of a peer now. */
    public interface Peers {
        /** Returns the record of a node, or null if there is none. */
        @Nullable NodeRecord record(String node);

        /** Returns whether the link to a node is up. */
        boolean up(String node);

        /** Returns whether the VM of a node refuses connections to it, so that the VM is there. */
        boolean refuses(String node);
    }

    /** A request whose backend server is lost. */
    public record Crash(RequestFingerprint request, String crash, long atMillis) {}

    private record Loss(
            RequestFingerprint request, NodeRecord peer, BackendRecord backend, long atMillis) {}

    private final List<Loss> mLosses = new ArrayList<>();

    /** When requests were last lost with each peer of late. */
    private final Map<String, Long> mLostPeers = new HashMap<>();

    /**
     * Records a request that was lost with the link to a peer.
     *
     * @param peer the record of the peer when the request was sent
     * @param backend the backend server that it was sent to
     * @param nowMillis the time, on the steady clock
     */
    public void lost(
            RequestFingerprint request, NodeRecord peer, BackendRecord backend, long nowMillis) {
        mLostPeers.put(peer.node(), nowMillis);
        if (mLosses.size() < MAX_LOST) {
            mLosses.add(new Loss(request, peer, backend, nowMillis));
        }
    }

    /** Records that a request was not lost with a peer, which has answered it. */
    public void found(RequestFingerprint request, String peer) {
        mLosses.removeIf(loss -> loss.request().equals(request) && loss.peer().node().equals(peer));
    }

    /** Returns whether no request is remembered. */
    public boolean isEmpty() {
        return mLosses.isEmpty();
    }

    /**
     * Removes the requests of which it is known by now whether their VM is gone, and returns those
     * for which it is. All nodes give the same name to the loss of a run of a node.
     */
    public List<Crash> decide(Peers peers, long nowMillis) {
        List<Crash> crashes = new ArrayList<>();
        mLostPeers.values().removeIf(lost -> nowMillis - lost > 2 * RETURN_TIME.toMillis());
        Iterator<Loss> losses = mLosses.iterator();
        while (losses.hasNext()) {
            Loss loss = losses.next();
            Boolean gone = gone(loss, peers, nowMillis);
            if (gone != null) {
                losses.remove();
                if (gone && peersLostNear(loss.atMillis()) <= MAX_PEERS_LOST_TOGETHER) {
                    String crash = "lost." + loss.peer().node() + "." + loss.peer().incarnation();
                    crashes.add(new Crash(loss.request(), crash, loss.atMillis()));
                }
            }
        }
        return crashes;
    }

    private long peersLostNear(long atMillis) {
        return mLostPeers.values().stream()
                .filter(lost -> Math.abs(lost - atMillis) <= RETURN_TIME.toMillis())
                .count();
    }

    /** Returns whether the VM of a lost request is gone, or null if that is not known yet. */
    private static @Nullable Boolean gone(Loss loss, Peers peers, long nowMillis) {
        NodeRecord now = peers.record(loss.peer().node());
        boolean sameRun = now != null && now.incarnation() == loss.peer().incarnation();
        if (sameRun && peers.up(loss.peer().node())) {
            return false;
        }
        BackendRecord backend = now == null ? null : now.backend();
        long awayMillis = nowMillis - loss.atMillis();
        boolean over = awayMillis >= RETURN_TIME.toMillis();
        if (sameRun || backend == null) {
            if (peers.refuses(loss.peer().node())) {
                return awayMillis >= LONGEST_RESTART.toMillis() ? false : null;
            }
            return over ? true : null;
        }
        // Until the next heartbeat, a restarted node knows only that the same instance is healthy.
        boolean startUnknown =
                backend.startedMillis() == 0
                        && backend.instance().equals(loss.backend().instance());
        if (startUnknown && !over) {
            return null;
        }
        return !backend.sameRun(loss.backend());
    }
}
