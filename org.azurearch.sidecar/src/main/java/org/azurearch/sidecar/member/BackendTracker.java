package org.azurearch.sidecar.member;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Decides from heartbeats which backend server stands behind this node and whether it takes
 * requests. Heartbeats may arrive late and in any order: a run that has left never comes back, and
 * one that leaves stays so.
 */
public final class BackendTracker {
    /** What a heartbeat changed. */
    public enum Change {
        /** The heartbeat is older than what is known, or of a run that has left. */
        STALE,
        /** Nothing that others need to know. */
        NONE,
        /** The backend server, its state or its slots changed. */
        CHANGED
    }

    /** Runs that have left are remembered up to this number; one VM sees a few a day. */
    private static final int MAX_DEPARTED = 256;

    private final Map<String, Long> mDeparted = new HashMap<>();
    private @Nullable BackendReport mCurrent;
    private boolean mUnreachable;

    /**
     * Takes a backend server that an earlier run of this node knew and that has just shown to be
     * the same and healthy; the next heartbeat of any run replaces it.
     */
    public Change assume(BackendReport report) {
        if (mCurrent != null || !mDeparted.isEmpty()) {
            return Change.NONE;
        }
        mCurrent = report;
        return Change.CHANGED;
    }

    /** Takes a heartbeat. */
    public Change report(BackendReport report) {
        Long departed = mDeparted.get(report.instance());
        if (departed != null && report.bornMillis() <= departed) {
            return Change.STALE;
        }
        BackendReport current = mCurrent;
        if (current != null && !supersedes(report, current)) {
            return Change.STALE;
        }
        boolean sameRun = current != null && sameRun(report, current);
        boolean leaving = report.leaving() || (sameRun && current != null && current.leaving());
        boolean changed =
                current == null
                        || !sameRun
                        || mUnreachable
                        || leaving != current.leaving()
                        || report.slots() != current.slots()
                        || !report.service().equals(current.service());
        mUnreachable = false;
        mCurrent = leaving == report.leaving() ? report : report.asLeaving();
        return changed ? Change.CHANGED : Change.NONE;
    }

    /**
     * Takes note that a backend server is gone.
     *
     * @param instance identifies the backend server
     * @param bornMillis its start; 0 if not said, which means the run that is known, or where none
     *     is, any that started before now
     * @param nowMillis the time of day, in milliseconds since the epoch
     */
    public Change departed(String instance, long bornMillis, long nowMillis) {
        BackendReport current = mCurrent;
        boolean isCurrent = current != null && current.instance().equals(instance);
        boolean knownRun =
                current != null && isCurrent && current.sequence() != BackendReport.ASSUMED;
        long lastRun = current != null && knownRun ? current.bornMillis() : nowMillis;
        long born = bornMillis == 0 ? lastRun : bornMillis;
        if (mDeparted.size() >= MAX_DEPARTED) {
            mDeparted.clear();
        }
        mDeparted.merge(instance, born, Math::max);
        if (current != null && isCurrent && current.bornMillis() <= born) {
            mCurrent = null;
            return Change.CHANGED;
        }
        return Change.NONE;
    }

    /** Takes note that the backend server cannot be reached; the next heartbeat revokes it. */
    public Change unreachable() {
        if (mUnreachable || mCurrent == null) {
            return Change.NONE;
        }
        mUnreachable = true;
        return Change.CHANGED;
    }

    /** Says whether a backend server has left and none has come since. */
    public boolean gone() {
        return mCurrent == null && !mDeparted.isEmpty();
    }

    /** Returns the last heartbeat of the backend server that is there, or null. */
    public @Nullable BackendReport current() {
        return mCurrent;
    }

    /** Says whether the backend server takes requests. */
    public boolean ready() {
        return mCurrent != null && !mCurrent.leaving() && !mUnreachable;
    }

    /** Returns what other nodes need to know, or null when there is no backend server. */
    public @Nullable BackendRecord record() {
        BackendReport current = mCurrent;
        return current == null
                ? null
                : new BackendRecord(
                        current.service(),
                        current.instance(),
                        current.slots(),
                        ready(),
                        current.warmingMillis());
    }

    private static boolean supersedes(BackendReport report, BackendReport current) {
        if (report.bornMillis() != current.bornMillis()) {
            return report.bornMillis() > current.bornMillis();
        }
        return !report.instance().equals(current.instance())
                || report.sequence() > current.sequence();
    }

    private static boolean sameRun(BackendReport report, BackendReport current) {
        return report.instance().equals(current.instance())
                && (report.bornMillis() == current.bornMillis()
                        || current.sequence() == BackendReport.ASSUMED);
    }
}
