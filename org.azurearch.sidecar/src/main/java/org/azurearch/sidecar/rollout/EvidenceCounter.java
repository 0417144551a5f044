package org.azurearch.sidecar.rollout;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.azurearch.sidecar.rollout.NodeEvidence.Outcomes;
import org.azurearch.sidecar.rollout.NodeEvidence.RouteVersion;
import org.azurearch.sidecar.rollout.NodeEvidence.ServerOutcomes;

/** Counts what this node observes of one roll-out. Confined to one thread. */
public final class EvidenceCounter {
    /**
     * Fraction of the slow threshold from which a request that is given up counts as slow: another
     * server answered its hedge first.
     */
    private static final double GIVEN_UP_FRACTION = 0.5;

    /** Requests whose latency is followed at a time; those beyond it are only counted. */
    private static final int MAX_FOLLOWED = 2_000;

    /** Counts of one route at one of the two versions. */
    private static final class Counts {
        private long mAnswered;
        private long mFailed;
        private long mTimed;
        private long mSlow;
        private final List<Long> mLatencies =
                new ArrayList<>(Collections.nCopies(LatencyBuckets.COUNT, 0L));

        private Outcomes outcomes(boolean target) {
            List<Long> latencies = target ? List.of() : List.copyOf(mLatencies);
            return new Outcomes(mAnswered, mFailed, mTimed, mSlow, latencies);
        }
    }

    /** One request at one server, from its sending to its end. */
    public final class Observation {
        private final RouteVersion mKey;
        private final String mServer;
        private final boolean mCold;
        private final long mSentMillis;
        private boolean mTimed;
        private boolean mEnded;

        private Observation(RouteVersion key, String server, boolean cold, long nowMillis) {
            mKey = key;
            mServer = server;
            mCold = cold;
            mSentMillis = nowMillis;
        }

        /** Counts an answer. */
        public void answered(boolean failed, long nowMillis) {
            if (!end()) {
                return;
            }
            Counts counts = counts(mKey);
            counts.mAnswered++;
            counts.mFailed += failed ? 1 : 0;
            count(mKey, mServer, failed);
            if (!failed) {
                long millis = nowMillis - mSentMillis;
                int bucket = LatencyBuckets.index(millis);
                counts.mLatencies.set(bucket, counts.mLatencies.get(bucket) + 1);
                time(this, millis, 1);
            }
        }

        /** Counts a request that ended without an answer. */
        public void ended(long nowMillis) {
            if (end()) {
                long millis = nowMillis - mSentMillis;
                Integer slow = mSlowMillis.get(mKey.route());
                if (slow != null && millis >= slow * GIVEN_UP_FRACTION) {
                    time(this, millis, GIVEN_UP_FRACTION);
                }
            }
        }

        private boolean end() {
            if (mEnded) {
                return false;
            }
            mEnded = true;
            mSequence++;
            mPending.remove(this);
            mBasePending -= mKey.target() ? 0 : 1;
            return true;
        }
    }

    private final String mNode;
    private final long mIncarnation;
    private final Map<RouteVersion, Counts> mCounts = new HashMap<>();
    private final Map<String, ServerOutcomes> mServers = new HashMap<>();
    private final Set<Observation> mPending = new LinkedHashSet<>();
    private Map<String, Integer> mSlowMillis = Map.of();
    private long mRequests;
    private long mExposed;
    private int mBasePending;
    private long mSequence;

    /**
     * Creates a counter without observations.
     *
     * @param node the name of this node
     * @param incarnation its present run
     */
    public EvidenceCounter(String node, long incarnation) {
        mNode = node;
        mIncarnation = incarnation;
    }

    /** Counts a request for the service. */
    public void request() {
        mRequests++;
        mSequence++;
    }

    /**
     * Counts a request that is sent to a server.
     *
     * @param server the node in front of the server
     * @param route the name of its route
     * @param target whether the server has the target version
     * @param cold whether the server has just started, so that its latency does not count
     * @param nowMillis the time, on the steady clock
     */
    public Observation sent(
            String server, String route, boolean target, boolean cold, long nowMillis) {
        mSequence++;
        mExposed += target ? 1 : 0;
        mBasePending += target ? 0 : 1;
        Observation observation =
                new Observation(new RouteVersion(route, target), server, cold, nowMillis);
        if (mPending.size() < MAX_FOLLOWED) {
            mPending.add(observation);
        }
        return observation;
    }

    /** Counts the requests that have run for too long; called several times a second. */
    public void tick(long nowMillis, Map<String, Integer> slowMillis) {
        mSlowMillis = slowMillis;
        Iterator<Observation> pending = mPending.iterator();
        while (pending.hasNext()) {
            Observation observation = pending.next();
            Integer slow = slowMillis.get(observation.mKey.route());
            long millis = nowMillis - observation.mSentMillis;
            if (slow != null && millis > slow) {
                time(observation, millis, 1);
                pending.remove();
            }
        }
    }

    private void time(Observation observation, long millis, double factor) {
        Integer slow = mSlowMillis.get(observation.mKey.route());
        if (slow == null || observation.mTimed || observation.mCold) {
            return;
        }
        observation.mTimed = true;
        Counts counts = counts(observation.mKey);
        counts.mTimed++;
        if (millis > slow * factor) {
            counts.mSlow++;
            count(observation.mKey, observation.mServer, true);
        }
    }

    private Counts counts(RouteVersion key) {
        mSequence++;
        return mCounts.computeIfAbsent(key, name -> new Counts());
    }

    private void count(RouteVersion key, String server, boolean bad) {
        if (key.target()) {
            mServers.merge(
                    server,
                    new ServerOutcomes(1, bad ? 1 : 0),
                    (a, b) -> new ServerOutcomes(a.answered() + 1, a.bad() + b.bad()));
        }
    }

    /** Returns what has been observed so far. */
    public NodeEvidence snapshot() {
        Map<RouteVersion, Outcomes> outcomes = new HashMap<>();
        mCounts.forEach((key, counts) -> outcomes.put(key, counts.outcomes(key.target())));
        return new NodeEvidence(
                mNode,
                mIncarnation,
                mSequence,
                mRequests,
                mExposed,
                mBasePending,
                outcomes,
                Map.copyOf(mServers));
    }

    /** Returns a number that changes with each observation. */
    public long sequence() {
        return mSequence;
    }

    /** Returns the number of bad outcomes of the target version. */
    public long badOutcomes() {
        long bad = 0;
        for (ServerOutcomes server : mServers.values()) {
            bad += server.bad();
        }
        return bad;
    }
}
