package org.azurearch.sidecar.internal.suspect;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.azurearch.call.SuspectTable;
import org.azurearch.call.SuspectTable.Strike;
import org.azurearch.events.EventLog;
import org.azurearch.internal.call.RequestFingerprint;
import org.azurearch.sidecar.SidecarEvent;
import org.azurearch.sidecar.call.AttemptFailure;
import org.azurearch.sidecar.call.HopCall;
import org.azurearch.sidecar.member.BackendRecord;
import org.azurearch.sidecar.member.NodeRecord;
import org.jspecify.annotations.Nullable;

/**
 * Tells which calls are suspect or contained, and shares new strikes with the peers. Confined to
 * one event loop.
 */
public final class SuspectTracker {
    /** Sends strikes to the peers and saves them for nodes that start later. */
    public interface Publisher {
        /** Sends strikes that this node recorded or cleared. */
        void publish(List<StrikeEntry> changed);

        /** Saves the strikes of contained requests. */
        void save(List<StrikeEntry> contained);
    }

    /** Time to come back while a call like it is on trial; most calls end within it. */
    private static final long TRIAL_RETRY_MILLIS = 500;

    /** Age up to which a completion speaks for a request that was in flight at a crash. */
    private static final long JUST_NOW_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final CallFingerprints mFingerprints;
    private final SuspectRegistry mRegistry = new SuspectRegistry();
    private final PeerLosses mPeerLosses = new PeerLosses();
    private final RecentCompletions mCompletions = new RecentCompletions();
    private final String mCrashPrefix;
    private final Counter mRefused;
    private final Set<String> mReported = new HashSet<>();

    /** Strikes that this node has cleared and that no peer is known to have cleared, by key. */
    private final Map<String, StrikeEntry> mCleared = new LinkedHashMap<>();

    private final Set<String> mTrials = new HashSet<>();
    private final long mStartedNanos = System.nanoTime();
    private @Nullable Publisher mPublisher;

    /**
     * Creates a tracker without suspects.
     *
     * @param fingerprints computes the fingerprints of calls
     * @param node the name of this node, which makes the identifiers of crashes unique
     * @param metrics where metrics are registered
     */
    public SuspectTracker(CallFingerprints fingerprints, String node, MetricRegistry metrics) {
        mFingerprints = fingerprints;
        mCrashPrefix = node + ".";
        mRefused = metrics.counter("suspects.refused");
        metrics.gauge(
                "suspects.contained",
                () -> (Gauge<Integer>) () -> mRegistry.containedCount(nowMillis()));
    }

    /** Sets where strikes are published. */
    public void attach(Publisher publisher) {
        mPublisher = publisher;
    }

    /** Returns at how many crashes such a call was in flight, since one has completed. */
    public int crashes(HopCall call) {
        return mayBeSuspect(call) ? mRegistry.crashes(mFingerprints.of(call)) : 0;
    }

    /** Returns why a call is refused if it is contained, otherwise null. */
    public @Nullable AttemptFailure containment(HopCall call) {
        if (!mayBeSuspect(call)) {
            return null;
        }
        long millis = mRegistry.containedMillis(mFingerprints.of(call), nowMillis());
        if (millis <= 0) {
            return null;
        }
        mRefused.inc();
        return AttemptFailure.suspect(millis);
    }

    /**
     * Begins a call that starts at this node. One that is on probation runs alone: while another
     * one like it is under way from this node, it is refused.
     *
     * @return the trial to end with the call, or null if the call is not on probation
     */
    public @Nullable Trial beginTrial(HopCall call) {
        String fingerprint =
                mayBeSuspect(call)
                        ? mRegistry.probation(mFingerprints.of(call), nowMillis())
                        : null;
        return fingerprint == null ? null : new Trial(fingerprint, mTrials.add(fingerprint));
    }

    /** A call that is on probation. */
    public final class Trial {
        private final String mFingerprint;
        private final boolean mAdmitted;

        private Trial(String fingerprint, boolean admitted) {
            mFingerprint = fingerprint;
            mAdmitted = admitted;
        }

        /** Returns why the call is refused, or null if it may run. */
        public @Nullable AttemptFailure refusal() {
            return mAdmitted ? null : AttemptFailure.suspect(TRIAL_RETRY_MILLIS);
        }

        /** Ends the call. */
        public void end() {
            if (mAdmitted) {
                mTrials.remove(mFingerprint);
            }
        }
    }

    /** Returns an identifier for a crash of the backend server behind this node. */
    String newCrash() {
        return mCrashPrefix + System.currentTimeMillis();
    }

    /**
     * Records that a request was in flight at a crash.
     *
     * @param counts whether the crash counts against the request
     */
    void strike(RequestFingerprint fingerprint, String crash, boolean counts) {
        List<String> fingerprints = fingerprint.fingerprints();
        Set<String> cleared = counts ? completedLately(fingerprints) : Set.copyOf(fingerprints);
        publish(mRegistry.strike(fingerprint, crash, cleared, nowMillis()));
        reportContained();
    }

    /**
     * Returns whether the same request has completed a moment ago on the backend server behind this
     * node. Known of requests without a body only, as that of others is not digested.
     */
    boolean completedJustNow(RequestFingerprint fingerprint) {
        OptionalLong group = fingerprint.bodilessGroup();
        return group.isPresent()
                && mCompletions.contains(group.getAsLong(), System.nanoTime(), JUST_NOW_NANOS);
    }

    /** Returns the groups among the fingerprints of which a request has completed lately here. */
    private Set<String> completedLately(Collection<String> fingerprints) {
        long now = System.nanoTime();
        Set<String> completed = new HashSet<>();
        for (String fingerprint : fingerprints) {
            if (SuspectTable.group(fingerprint)
                    && mCompletions.contains(RequestFingerprint.group(fingerprint), now)) {
                completed.add(fingerprint);
            }
        }
        return completed;
    }

    /** Records a call that was lost with the link to a peer, whose VM may be gone. */
    public void lostWithPeer(HopCall call, NodeRecord peer, BackendRecord backend) {
        mPeerLosses.lost(mFingerprints.of(call), peer, backend, nowMillis());
    }

    /** Records that a call was answered, which had been taken for lost with its peer. */
    public void notLostWithPeer(HopCall call, NodeRecord peer) {
        mPeerLosses.found(mFingerprints.of(call), peer.node());
    }

    /** Strikes the calls that were lost with VMs that are gone; called a few times a second. */
    public void decidePeerLosses(PeerLosses.Peers peers) {
        if (mPeerLosses.isEmpty()) {
            return;
        }
        List<StrikeEntry> strikes = new ArrayList<>();
        Map<String, Integer> requestsByCrash = new LinkedHashMap<>();
        for (PeerLosses.Crash loss : mPeerLosses.decide(peers, nowMillis())) {
            requestsByCrash.merge(loss.crash(), 1, Integer::sum);
            List<String> fingerprints = loss.request().fingerprints();
            Set<String> cleared = completedLately(fingerprints);
            strikes.addAll(
                    mRegistry.strike(loss.request(), loss.crash(), cleared, loss.atMillis()));
        }
        requestsByCrash.forEach(
                (crash, requests) ->
                        EventLog.log(SidecarEvent.BACKEND_CRASHED, "-", crash, requests));
        if (!requestsByCrash.isEmpty()) {
            publish(strikes);
            reportContained();
            saveContained();
        }
    }

    /**
     * Records that a call has completed.
     *
     * @param id the id of the request, for the log
     */
    public void completed(HopCall call, String id) {
        long now = System.nanoTime();
        long path = RequestFingerprint.pathGroup(call.method(), call.target());
        mCompletions.add(path, now);
        long caller = RequestFingerprint.callerGroup(path, mFingerprints.caller(call));
        mCompletions.add(caller, now);
        if (call.body().length == 0) {
            mCompletions.add(RequestFingerprint.bodilessGroup(caller), now);
        }
        if (mayBeSuspect(call)) {
            List<StrikeEntry> cleared = mRegistry.completed(mFingerprints.of(call), nowMillis());
            if (!cleared.isEmpty()) {
                EventLog.log(
                        SidecarEvent.SUSPECT_CLEARED,
                        id,
                        cleared.get(0).strike().fingerprint(),
                        cleared.stream().map(entry -> entry.strike().crash()).distinct().toList());
            }
            publishLater(cleared);
        }
    }

    /** Adds strikes of other nodes; returns those that were new to this node. */
    public List<StrikeEntry> merge(Collection<StrikeEntry> entries) {
        for (StrikeEntry entry : entries) {
            if (entry.cleared()) {
                mCleared.remove(entry.key());
            }
        }
        List<StrikeEntry> changed = mRegistry.merge(entries, nowMillis());
        if (!changed.isEmpty()) {
            Set<String> completed = completedLately(mRegistry.containedGroups(nowMillis()));
            publishLater(mRegistry.clear(completed, nowMillis()));
            reportContained();
        }
        return changed;
    }

    /**
     * Publishes cleared strikes at the next tick, unless a peer has done so by then: many nodes
     * clear the same strikes at about the same time.
     */
    private void publishLater(List<StrikeEntry> cleared) {
        cleared.forEach(entry -> mCleared.put(entry.key(), entry));
    }

    /** Returns all strikes known to this node. */
    public List<StrikeEntry> entries() {
        return mRegistry.entries();
    }

    /** Returns a digest of the strikes of each bucket. */
    List<Integer> bucketDigests() {
        return mRegistry.bucketDigests();
    }

    /** Returns the strikes of some buckets, the newest first. */
    List<StrikeEntry> entriesIn(Set<Integer> buckets) {
        return mRegistry.entriesIn(buckets);
    }

    /** Returns a digest of all strikes, to compare with that of a peer. */
    public long digest() {
        return mRegistry.digest();
    }

    /**
     * Publishes what this node has cleared, and removes the strikes that have expired; called a few
     * times a second, at times that differ from node to node.
     */
    public void tick() {
        List<StrikeEntry> cleared = List.copyOf(mCleared.values());
        mCleared.clear();
        publish(cleared);
        mRegistry.expire(nowMillis());
    }

    /**
     * Returns the time of the strikes: a steady clock that exceeds the age of each of them, so that
     * no time is negative.
     */
    public long nowMillis() {
        return SuspectRegistry.LIFETIME.toMillis()
                + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mStartedNanos);
    }

    /**
     * Logs and saves newly contained requests under which the backend server behind this node has
     * crashed. The strikes of two nodes may cross, so that neither contains it by its own strike.
     */
    private void reportContained() {
        List<StrikeEntry> contained = mRegistry.containedEntries(nowMillis());
        Set<String> fingerprints = new HashSet<>();
        boolean isNew = false;
        for (StrikeEntry entry : contained) {
            Strike strike = entry.strike();
            fingerprints.add(strike.fingerprint());
            if (strike.crash().startsWith(mCrashPrefix) && mReported.add(strike.fingerprint())) {
                isNew = true;
                EventLog.log(
                        SidecarEvent.REQUEST_CONTAINED,
                        strike.fingerprint(),
                        strike.crash(),
                        strike.summary());
            }
        }
        mReported.retainAll(fingerprints);
        if (isNew) {
            saveContained();
        }
    }

    /** Saves the strikes of contained requests, and of others to their paths, if there are any. */
    void saveContained() {
        List<StrikeEntry> strikes = mRegistry.entriesBesideContained(nowMillis());
        if (!strikes.isEmpty() && mPublisher != null) {
            mPublisher.save(strikes);
        }
    }

    /** Returns whether the method and path of a call are those of a suspect. */
    private boolean mayBeSuspect(HopCall call) {
        return !mRegistry.isEmpty()
                && mRegistry.suspectTarget(
                        RequestFingerprint.targetDigest(call.method(), call.target()));
    }

    private void publish(List<StrikeEntry> changed) {
        if (!changed.isEmpty() && mPublisher != null) {
            mPublisher.publish(changed);
        }
    }
}
