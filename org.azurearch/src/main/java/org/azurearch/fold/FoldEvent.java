package org.azurearch.fold;

import org.azurearch.events.EventCode;
import org.azurearch.events.EventInfo;

/** Events of the fold. */
public enum FoldEvent implements EventCode {
    /** A change was accepted. */
    CHANGE_ACCEPTED(200, Level.INFO, "change {} accepted as {}"),
    /** A change was refused. */
    CHANGE_REFUSED(201, Level.INFO, "change {} of firm {} refused: {} {}"),
    /** Malformed records were skipped. */
    RECORDS_SKIPPED(202, Level.WARN, "skipped {} malformed records after offset {} up to {}"),
    /** The rule set was raised. */
    RULE_SET_RAISED(203, Level.INFO, "rule set raised from {} to {} at offset {}");

    private final EventInfo mInfo;

    FoldEvent(int number, Level level, String message) {
        mInfo = new EventInfo(number, level, message);
    }

    @Override
    public EventInfo info() {
        return mInfo;
    }
}
