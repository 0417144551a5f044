package org.azurearch.internal.member;

import org.azurearch.time.TimeSource;

/**
 * A point in time by both clocks of a node.
 *
 * @param millis milliseconds from an arbitrary origin; never goes back
 * @param wallMillis milliseconds since the epoch; may jump
 */
record Moment(long millis, long wallMillis) {
    static Moment now(TimeSource time) {
        return new Moment(time.millis(), time.wallMillis());
    }
}
