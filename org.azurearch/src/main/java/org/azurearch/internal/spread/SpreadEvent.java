package org.azurearch.internal.spread;

import org.azurearch.events.EventCode;
import org.azurearch.events.EventInfo;

/** Events of the log client and of the distribution, numbers 300 to 399. */
public enum SpreadEvent implements EventCode {
    /** The log cannot be read. */
    LOG_DOWN(300, Level.WARN, "the log cannot be read: {}"),
    /** The log can be read again. */
    LOG_UP(301, Level.INFO, "the log can be read again"),
    /** This node has started to read the log for its data centre. */
    READER_STARTED(302, Level.INFO, "this node reads the log for its data centre, rank {}"),
    /** This node has stopped reading the log. */
    READER_STOPPED(303, Level.INFO, "this node no longer reads the log"),
    /** A configuration came into force. */
    INSTALLED(310, Level.INFO, "position {} is in force, source {}"),
    /** More nodes report another digest for this node's offset than report its own. */
    DIGEST_MISMATCH(
            311,
            Level.ERROR,
            "digest mismatch: {} is at {}, this node is at {}; fetching a snapshot"),
    /** A delta is corrupt or does not lead to its target position. */
    DELTA_REFUSED(312, Level.WARN, "rejected a delta to {}: {}"),
    /** A delta cannot be encoded, so that peers must fetch a snapshot. */
    DELTA_NOT_MADE(315, Level.WARN, "cannot encode a delta to {}: {}"),
    /** The log contains a rule set that this release does not support. */
    RULE_SET_UNKNOWN(
            313, Level.ERROR, "stopped at offset {}, the next record needs a newer release: {}"),
    /** A record of the log cannot be folded. */
    RECORD_REFUSED(314, Level.ERROR, "the record after offset {} cannot be folded: {}"),
    /** The next record has been removed by retention, so that a snapshot is needed. */
    BEHIND_RETENTION(
            320, Level.WARN, "offset {} has been removed from the log, the earliest is {}"),
    /** The fetch of a snapshot has started. */
    RESYNC_STARTED(321, Level.INFO, "fetching a snapshot; current position {}"),
    /** No usable snapshot was found. */
    RESYNC_FAILED(322, Level.WARN, "no usable snapshot found: {}"),
    /** The log has been searched and contains no later snapshot. */
    SNAPSHOT_NONE(326, Level.INFO, "the log contains no later snapshot"),
    /** A snapshot was skipped because it is corrupt or not usable by this release. */
    SNAPSHOT_SKIPPED(323, Level.WARN, "skipped the snapshot at {}: {}"),
    /** A snapshot was appended to the log. */
    SNAPSHOT_SAVED(324, Level.INFO, "appended the snapshot at {} to the log"),
    /** A snapshot could not be appended, or the newest one could not be looked up. */
    SNAPSHOT_SAVE_FAILED(325, Level.WARN, "cannot append a snapshot to the log: {}"),
    /** Several consecutive pulls have failed. */
    PEERS_SILENT(330, Level.WARN, "no peer has answered the last {} pulls"),
    /** The append of a change is retried because it was refused or its reply was lost. */
    APPEND_RETRIED(340, Level.WARN, "retrying the append of change {}: {}");

    private final EventInfo mInfo;

    SpreadEvent(int number, Level level, String message) {
        mInfo = new EventInfo(number, level, message);
    }

    @Override
    public EventInfo info() {
        return mInfo;
    }
}
