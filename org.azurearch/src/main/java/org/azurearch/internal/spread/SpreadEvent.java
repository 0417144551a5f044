package org.azurearch.internal.spread;

import org.azurearch.events.EventCode;
import org.azurearch.events.EventInfo;

/** Events of the log client and of the distribution, numbers 300 to 399. */
public enum SpreadEvent implements EventCode {
    /** The log cannot be read. */
    LOG_DOWN(300, Level.WARN, "the log cannot be read: {}"),
    /** The log can be read again. */
    LOG_UP(301, Level.INFO, "the log can be read again"),
    /** This node has begun to read the log for its data centre. */
    READER_STARTED(302, Level.INFO, "this node reads the log for its data centre, rank {}"),
    /** This node has ceased to read the log. */
    READER_STOPPED(303, Level.INFO, "this node no longer reads the log"),
    /** A configuration came into force. */
    INSTALLED(310, Level.INFO, "position {} is in force, source {}"),
    /** Two nodes fold one offset to different digests. */
    DIGEST_MISMATCH(311, Level.ERROR, "{} is at {} while this node is at {}; state is refetched"),
    /** A delta did not lead where it said. */
    DELTA_REFUSED(312, Level.WARN, "a delta to {} is refused: {}"),
    /** A delta cannot be encoded, so that others need a snapshot. */
    DELTA_NOT_MADE(315, Level.WARN, "no delta to {}: {}"),
    /** The log holds a rule set that this program does not know. */
    RULE_SET_UNKNOWN(313, Level.ERROR, "held at offset {}, this program is too old: {}"),
    /** A record of the log cannot be folded. */
    RECORD_REFUSED(314, Level.ERROR, "the record after offset {} cannot be folded: {}"),
    /** The next record has been removed by retention, so that a snapshot is needed. */
    BEHIND_RETENTION(320, Level.WARN, "offset {} has been removed from the log, earliest is {}"),
    /** A snapshot is being fetched. */
    RESYNC_STARTED(321, Level.INFO, "fetching a snapshot, now at {}"),
    /** No usable snapshot was found. */
    RESYNC_FAILED(322, Level.WARN, "no usable snapshot found: {}"),
    /** The log has been searched and holds no later snapshot. */
    SNAPSHOT_NONE(326, Level.INFO, "the log holds no later snapshot"),
    /** A snapshot was skipped. */
    SNAPSHOT_SKIPPED(323, Level.WARN, "the snapshot at {} is skipped: {}"),
    /** A snapshot was appended to the log. */
    SNAPSHOT_SAVED(324, Level.INFO, "a snapshot of {} was appended"),
    /** A snapshot could not be appended. */
    SNAPSHOT_SAVE_FAILED(325, Level.WARN, "a snapshot could not be appended: {}"),
    /** No data centre's node has answered a pull for some time. */
    PEERS_SILENT(330, Level.WARN, "no peer has answered the last {} pulls"),
    /** A change is appended again because the answer was lost or refused. */
    APPEND_RETRIED(340, Level.WARN, "change {} is appended again: {}");

    private final EventInfo mInfo;

    SpreadEvent(int number, Level level, String message) {
        mInfo = new EventInfo(number, level, message);
    }

    @Override
    public EventInfo info() {
        return mInfo;
    }
}
