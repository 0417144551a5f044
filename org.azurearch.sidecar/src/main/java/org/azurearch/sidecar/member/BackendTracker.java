package org.azurearch.sidecar.member;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Determines from heartbeats which backend server runs behind this node and whether it takes
 * requests. Heartbeats may arrive late and in any order: a run that has departed never becomes
 * current again, and a leaving run stays leaving. Confined to one thread.
 */
public final class BackendTracker {
    /** The effect of a heartbeat or of another observation. */
    public enum Change {
        /** The heartbeat is older than the current state, or of a run that has departed. */
        STALE,
        /** Nothing changed that is published to peers. */
        NONE,
        /** The backend server, its state or its slots changed. */
        CHANGED
    }

    /** Limit of the instances recorded as departed; a VM has a few a day. */
    private static final int MAX_DEPARTED_INSTANCES = 256;

    /** Smallest change of a limit that is published, as a fraction of the published one. */
    private static final double MIN_LIMIT_CHANGE = 0.1;

    private final Map<String, Long> mDepartedStartMillis = new HashMap<>();
    private @Nullable Heartbeat mCurrent;
    private @Nullable BackendRecord mDeparted;
    private boolean mUnreachable;
    private double mLimitPerSecond = BackendRecord.NO_LIMIT;
    private double mPublishedLimit = BackendRecord.NO_LIMIT;

    /**
     * Assumes that a backend server recorded by an earlier run of this node is current, after a
     * probe has found the same instance healthy. The next heartbeat of any run replaces it.
     *
     * @param limitPerSecond the limit that it named then; negative if none
     */
    public Change assume(Heartbeat heartbeat, double limitPerSecond) {
        if (mCurrent != null || !mDepartedStartMillis.isEmpty()) {
            return Change.NONE;
        }
        mCurrent = heartbeat;
        mLimitPerSecond = limitPerSecond;
        return Change.CHANGED;
    }

    /** Processes a heartbeat. */
    public Change onHeartbeat(Heartbeat heartbeat) {
        Long departed = mDepartedStartMillis.get(heartbeat.instance());
        if (departed != null && heartbeat.startedMillis() <= departed) {
            return Change.STALE;
        }
        Heartbeat current = mCurrent;
        if (current != null && !supersedes(heartbeat, current)) {
            return Change.STALE;
        }
        boolean sameRun = current != null && heartbeat.sameRun(current);
        boolean leaving = heartbeat.leaving() || (sameRun && current != null && current.leaving());
        boolean changed =
                current == null
                        || !sameRun
                        || mUnreachable
                        || leaving != current.leaving()
                        || heartbeat.slots() != current.slots()
                        || !heartbeat.service().equals(current.service());
        mUnreachable = false;
        if (!sameRun) {
            mLimitPerSecond = BackendRecord.NO_LIMIT;
        }
        mCurrent = leaving == heartbeat.leaving() ? heartbeat : heartbeat.asLeaving();
        return changed ? Change.CHANGED : Change.NONE;
    }

    /**
     * Records that a backend server has departed.
     *
     * @param instance identifies the backend server
     * @param startedMillis the start of the departed run; 0 if not given, which means the current
     *     run if a heartbeat gave its start, and otherwise every run that started before now
     * @param nowMillis the time of day, in milliseconds since the epoch
     */
    public Change onDeparture(String instance, long startedMillis, long nowMillis) {
        Heartbeat current = mCurrent;
        boolean isCurrent = current != null && current.instance().equals(instance);
        boolean startKnown =
                current != null && isCurrent && current.sequence() != Heartbeat.ASSUMED_SEQUENCE;
        long latestStartMillis =
                current != null && startKnown ? current.startedMillis() : nowMillis;
        long departedStartMillis = startedMillis == 0 ? latestStartMillis : startedMillis;
        if (mDepartedStartMillis.size() >= MAX_DEPARTED_INSTANCES) {
            mDepartedStartMillis.clear();
        }
        mDepartedStartMillis.merge(instance, departedStartMillis, Math::max);
        if (current != null && isCurrent && current.startedMillis() <= departedStartMillis) {
            mCurrent = null;
            mDeparted =
                    new BackendRecord(
                            current.service(),
                            instance,
                            current.slots(),
                            false,
                            0,
                            BackendRecord.NO_LIMIT,
                            departedStartMillis,
                            true,
                            current.version());
            return Change.CHANGED;
        }
        return Change.NONE;
    }

    /** Records that the current backend server has announced in an answer that it is leaving. */
    public Change onLeavingAnnounced() {
        Heartbeat current = mCurrent;
        if (current == null || current.leaving()) {
            return Change.NONE;
        }
        mCurrent = current.asLeaving();
        return Change.CHANGED;
    }

    /** Records that the backend server cannot be reached; its next heartbeat revokes this. */
    public Change onUnreachable() {
        if (mUnreachable || mCurrent == null) {
            return Change.NONE;
        }
        mUnreachable = true;
        return Change.CHANGED;
    }

    /**
     * Records the limit that the backend server names. Small differences are not published, as
     * peers use the limit only to estimate how long a request would wait.
     *
     * @param perSecond the limit; negative if it names none
     */
    public Change onLimit(double perSecond) {
        mLimitPerSecond = perSecond;
        double difference = Math.abs(perSecond - mPublishedLimit);
        boolean appears = perSecond < 0 != mPublishedLimit < 0;
        return appears || difference > MIN_LIMIT_CHANGE * Math.abs(mPublishedLimit)
                ? Change.CHANGED
                : Change.NONE;
    }

    /** Returns the limit that the backend server names; negative if none. */
    public double limitPerSecond() {
        return mLimitPerSecond;
    }

    /** Returns whether a backend server has departed and none has replaced it. */
    public boolean departed() {
        return mCurrent == null && !mDepartedStartMillis.isEmpty();
    }

    /** Returns the last heartbeat of the current backend server, or null if there is none. */
    public @Nullable Heartbeat current() {
        return mCurrent;
    }

    /** Returns whether the backend server takes requests. */
    public boolean ready() {
        return mCurrent != null && !mCurrent.leaving() && !mUnreachable;
    }

    /**
     * Returns the record to publish to peers: that of the current backend server, or of the one
     * that departed last, so that a later run of this node knows of the departure; null if there
     * was none.
     */
    public @Nullable BackendRecord record() {
        Heartbeat current = mCurrent;
        mPublishedLimit = mLimitPerSecond;
        return current == null
                ? mDeparted
                : new BackendRecord(
                        current.service(),
                        current.instance(),
                        current.slots(),
                        ready(),
                        current.warmingMillis(),
                        mLimitPerSecond,
                        current.startedMillis(),
                        current.leaving(),
                        current.version());
    }

    private static boolean supersedes(Heartbeat heartbeat, Heartbeat current) {
        if (heartbeat.startedMillis() != current.startedMillis()) {
            return heartbeat.startedMillis() > current.startedMillis();
        }
        return !heartbeat.instance().equals(current.instance())
                || heartbeat.sequence() > current.sequence();
    }
}
