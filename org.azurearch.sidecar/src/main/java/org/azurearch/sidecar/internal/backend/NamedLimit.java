package org.azurearch.sidecar.internal.backend;

import org.azurearch.sidecar.SidecarEvent;
import org.azurearch.sidecar.internal.CallLog;
import org.azurearch.sidecar.member.Heartbeat;

/** Parses the limit that a backend server names in its answers. */
final class NamedLimit {
    private NamedLimit() {}

    /**
     * Returns the limit, in requests a second; the one before if the value is not a number that is
     * finite and not negative, which is logged.
     *
     * @param backend the backend server that answered
     * @param value the limit as a decimal number
     */
    static double parse(Heartbeat backend, String value, double before, CallLog log) {
        try {
            double perSecond = Double.parseDouble(value.trim());
            if (perSecond >= 0 && Double.isFinite(perSecond)) {
                return perSecond;
            }
        } catch (NumberFormatException e) {
            // Logged below, like a number out of range.
        }
        log.failure(
                SidecarEvent.BACKEND_REPORT_IGNORED,
                backend.instance(),
                "-",
                "limit is not a number of requests a second: " + value);
        return before;
    }
}
