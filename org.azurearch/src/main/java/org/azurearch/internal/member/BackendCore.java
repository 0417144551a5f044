package org.azurearch.internal.member;

import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.member.Announcement;
import org.azurearch.member.BackendState;
import org.jspecify.annotations.Nullable;

/**
 * Derives the state of the backend server from its announcement and lease, drain requests, probes
 * and call outcomes. Neither probes nor calls decide alone: failing probes are ignored while calls
 * succeed, and repeated call failures eject the server for a while even if its probes succeed. Not
 * thread-safe.
 */
final class BackendCore {
    static final long MAX_LEASE_MILLIS = 300_000L;

    static final long MIN_LEASE_MILLIS = 100L;

    private static final int MAX_SLOTS = 100_000;
    private static final int PROBE_FAILURES_TO_ABSENT = 3;
    private static final int CALL_FAILURES_TO_ABSENT = 5;
    private static final long RECENT_SUCCESS_MILLIS = 2_000L;
    private static final long FIRST_EJECTION_MILLIS = 5_000L;
    private static final long MAX_EJECTION_MILLIS = 60_000L;

    private @Nullable Announcement mAnnouncement;
    private long mRenewedMillis;
    private boolean mDrainRequested;
    private int mProbeFailures;
    private int mCallFailures;
    private boolean mHasSucceededCall;
    private long mLastCallSuccessMillis;
    private long mEjectionMillis = FIRST_EJECTION_MILLIS;
    private long mEjectedUntilMillis;
    private boolean mEjected;

    /**
     * Applies an announcement or its renewal; one by a different backend server resets the state.
     *
     * @throws AzurearchException with {@code OUT_OF_RANGE} when a value is outside its range
     */
    void announce(Announcement announcement, Moment now) {
        validate(announcement);
        if (mAnnouncement == null || !mAnnouncement.sameServer(announcement)) {
            reset();
        }
        mAnnouncement = announcement;
        mRenewedMillis = now.millis();
    }

    void withdraw() {
        reset();
    }

    void drain() {
        mDrainRequested = true;
    }

    /**
     * Expires the lease and ends an ejection when due; one more failed call then ejects the server
     * again.
     */
    void tick(Moment now) {
        Announcement announcement = mAnnouncement;
        if (announcement != null
                && now.millis() - mRenewedMillis >= announcement.lease().toMillis()) {
            reset();
        }
        if (mEjected && now.millis() >= mEjectedUntilMillis) {
            mEjected = false;
            mCallFailures = CALL_FAILURES_TO_ABSENT - 1;
        }
    }

    /** Records the outcome of a probe of the health endpoint. */
    void recordProbe(boolean healthy) {
        mProbeFailures = healthy ? 0 : mProbeFailures + 1;
    }

    /** Records the outcome of a call. */
    void recordCall(boolean healthy, Moment now) {
        if (healthy) {
            mCallFailures = 0;
            mHasSucceededCall = true;
            mLastCallSuccessMillis = now.millis();
            mEjectionMillis = FIRST_EJECTION_MILLIS;
            return;
        }
        mCallFailures++;
        if (mCallFailures >= CALL_FAILURES_TO_ABSENT && !mEjected) {
            mEjected = true;
            mEjectedUntilMillis = now.millis() + mEjectionMillis;
            mEjectionMillis = Math.min(MAX_EJECTION_MILLIS, 2 * mEjectionMillis);
        }
    }

    @Nullable Announcement announcement() {
        return mAnnouncement;
    }

    BackendState state(Moment now) {
        Announcement announcement = mAnnouncement;
        if (announcement == null) {
            return BackendState.ABSENT;
        }
        if (mDrainRequested) {
            return BackendState.DRAINING;
        }
        if (announcement.state() != BackendState.READY) {
            return announcement.state();
        }
        return mEjected || isFailingProbes(now) ? BackendState.ABSENT : BackendState.READY;
    }

    private boolean isFailingProbes(Moment now) {
        boolean callsSucceed =
                mHasSucceededCall && now.millis() - mLastCallSuccessMillis < RECENT_SUCCESS_MILLIS;
        return mProbeFailures >= PROBE_FAILURES_TO_ABSENT && !callsSucceed;
    }

    private void reset() {
        mAnnouncement = null;
        mDrainRequested = false;
        mProbeFailures = 0;
        mCallFailures = 0;
        mHasSucceededCall = false;
        mEjectionMillis = FIRST_EJECTION_MILLIS;
        mEjected = false;
    }

    private static void validate(Announcement announcement) {
        long lease = announcement.lease().toMillis();
        if (lease < MIN_LEASE_MILLIS || lease > MAX_LEASE_MILLIS) {
            throw outOfRange("lease", lease);
        }
        if (announcement.slots() < 1 || announcement.slots() > MAX_SLOTS) {
            throw outOfRange("slots", announcement.slots());
        }
        if (announcement.state() == BackendState.ABSENT) {
            throw new AzurearchException(
                    ErrorCode.OUT_OF_RANGE, "an announced state must not be ABSENT");
        }
    }

    private static AzurearchException outOfRange(String field, long value) {
        return new AzurearchException(ErrorCode.OUT_OF_RANGE, field + " out of range: " + value);
    }
}
