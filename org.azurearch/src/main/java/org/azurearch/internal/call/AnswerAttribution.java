package org.azurearch.internal.call;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether an answer belongs to the pending request of a connection that carries one request
 * at a time, even if the server repeats earlier answers. Confined to one thread.
 */
public final class AnswerAttribution {
    /** The request that an answer belongs to. */
    public enum Owner {
        /** The pending request, with certainty. */
        PENDING,

        /** Another request; the pending one may still be answered. */
        OTHER,

        /** It cannot be told. */
        UNKNOWN
    }

    /** Bound on the memory for the ids of refused requests. */
    private static final int MAX_REFUSED_IDS = 64;

    private final boolean mCallerIds;
    private final Set<String> mRefusedIds = new HashSet<>();
    private @Nullable String mId;
    private int mRequests;
    private boolean mStray;
    private boolean mNamesIds;

    private AnswerAttribution(boolean callerIds) {
        mCallerIds = callerIds;
    }

    /**
     * Returns the attribution by ids that callers choose, if any, and that servers repeat. A caller
     * may use an id again.
     */
    public static AnswerAttribution byCallerIds() {
        return new AnswerAttribution(true);
    }

    /** Returns the attribution by ids that are never used again and that servers may repeat. */
    public static AnswerAttribution byUniqueIds() {
        return new AnswerAttribution(false);
    }

    /**
     * Returns whether the answer to a request could be told from a copy of an earlier answer on the
     * connection.
     */
    public boolean mayCarry(@Nullable String id) {
        return !mStray && (id == null ? mRequests == 0 : !mRefusedIds.contains(id));
    }

    /**
     * Records that a request is sent.
     *
     * @param id its id; null accepts any answer without an id, unless there were stray ones
     */
    public void sent(@Nullable String id) {
        mId = id;
        mRequests++;
    }

    /**
     * Returns the request that an answer belongs to.
     *
     * @param ids the ids that the answer names
     * @param refusal whether the answer states that the request was not run
     */
    public Owner owner(List<String> ids, boolean refusal) {
        Owner owner = decide(ids, refusal);
        mStray |= owner != Owner.PENDING;
        if (owner == Owner.PENDING) {
            mNamesIds |= !ids.isEmpty();
            if (refusal && mCallerIds && mId != null) {
                mRefusedIds.add(mId);
            }
        }
        return owner;
    }

    /** Returns whether the connection may be used again. */
    public boolean reusable() {
        return !mStray && mRefusedIds.size() < MAX_REFUSED_IDS;
    }

    private Owner decide(List<String> ids, boolean refusal) {
        if (ids.isEmpty()) {
            return certainWithoutId(refusal) ? Owner.PENDING : Owner.UNKNOWN;
        }
        if (ids.stream().distinct().count() > 1) {
            return Owner.UNKNOWN;
        }
        return ids.get(0).equals(mId) ? Owner.PENDING : Owner.OTHER;
    }

    private boolean certainWithoutId(boolean refusal) {
        if (mStray) {
            return false;
        }
        boolean idOptional = mCallerIds ? mId == null : !mNamesIds && !refusal;
        return mRequests == 1 || idOptional;
    }
}
