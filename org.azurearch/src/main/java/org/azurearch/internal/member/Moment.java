package org.azurearch.internal.member;

import org.azurearch.time.TimeSource;

/**
 * A point in time, by the monotonic and the wall clock of a node.
 *
 * @param millis monotonic milliseconds from an arbitrary origin
 * @param wallMillis milliseconds since the epoch; may jump
 */
record Moment(long millis, long wallMillis) {
    static Moment now(TimeSource time) {
        return new Moment(time.millis(), time.wallMillis());
    }
}
