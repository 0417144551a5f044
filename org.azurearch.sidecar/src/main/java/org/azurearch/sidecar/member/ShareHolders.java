package org.azurearch.sidecar.member;

import java.util.concurrent.TimeUnit;

/**
 * Decides which nodes hold a share of what all nodes divide among them, such as the rates of client
 * accounts and the reserve of the retry budget. Whatever is divided by a number of nodes is divided
 * by this one.
 *
 * <p>The shares add up to one at most as long as each holder counts all others. A node therefore
 * counts from its first record until it can spend nothing more: a leaving one while it may still
 * run, and one that is out of reach, which may run behind a cut, until its record is removed. A
 * node that starts holds nothing until the nodes that it has reached have counted it for a lease.
 *
 * <p>Has no clock and no I/O. Confined to one thread.
 */
public final class ShareHolders {
    /**
     * How long a share may be spent without being renewed. Holders take a changed number of holders
     * into account within this time.
     */
    public static final long LEASE_MILLIS = 1_500;

    private static final long LEASE_NANOS = TimeUnit.MILLISECONDS.toNanos(LEASE_MILLIS);

    private final NodeTable mTable;
    private final String mSelf;
    private final long mLeavingNanos;
    private boolean mTicked;
    private long mTickNanos;
    private long mTickWallMillis;
    private boolean mReached;
    private boolean mKnown;
    private long mKnownNanos;
    private boolean mEnded;
    private boolean mOthersKnown;
    private int mMembers;
    private int mCount;

    /**
     * Creates the decision of a node that holds nothing yet.
     *
     * @param table the records of all nodes
     * @param self the name of this node
     * @param graceMillis the longest time for which a leaving node runs
     */
    public ShareHolders(NodeTable table, String self, long graceMillis) {
        mTable = table;
        mSelf = self;
        mLeavingNanos = TimeUnit.MILLISECONDS.toNanos(graceMillis + LEASE_MILLIS);
    }

    /**
     * Decides anew; called several times in a lease.
     *
     * @param othersKnown whether the records of all other nodes have been read from the store or
     *     compared with a peer's
     * @param reached whether this node reaches another one
     * @param nowNanos the time, on the steady clock
     * @param wallMillis the time of day, which goes on while the VM is suspended
     */
    public void tick(boolean othersKnown, boolean reached, long nowNanos, long wallMillis) {
        long steadyMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - mTickNanos);
        long pauseMillis = Math.max(steadyMillis, wallMillis - mTickWallMillis);
        boolean paused = mTicked && pauseMillis >= LEASE_MILLIS;
        mTicked = true;
        mTickNanos = nowNanos;
        mTickWallMillis = wallMillis;
        if (paused) {
            mKnown = false; // others may have started meanwhile
            NodeRecord self = mTable.record(mSelf);
            mEnded |= self != null && self.leaving();
        }
        int others = countOthers(nowNanos);
        mReached |= reached;
        mOthersKnown |= othersKnown;
        mMembers = mOthersKnown ? others + 1 : 0;
        if (!mKnown && mOthersKnown && (others == 0 || mReached)) {
            mKnown = true;
            mKnownNanos = nowNanos;
        }
        boolean counted = mKnown && nowNanos - mKnownNanos >= LEASE_NANOS;
        boolean holds = counted && (others == 0 || mReached) && !mEnded;
        mCount = holds ? others + 1 : 0;
    }

    /**
     * Returns the number of nodes that hold a share, of which each gets the same part; 0 if this
     * node holds none.
     */
    public int count() {
        return mCount;
    }

    /**
     * Returns the number of nodes that hold a share as soon as this one does; 0 while the others
     * are not known. For limits with room for a node that the others do not count yet.
     */
    public int members() {
        return mMembers;
    }

    private int countOthers(long nowNanos) {
        int others = 0;
        for (NodeRecord record : mTable.records()) {
            boolean ended =
                    record.leaving()
                            && nowNanos - mTable.changedNanos(record.node()) >= mLeavingNanos;
            others += ended || record.node().equals(mSelf) ? 0 : 1;
        }
        return others;
    }
}
