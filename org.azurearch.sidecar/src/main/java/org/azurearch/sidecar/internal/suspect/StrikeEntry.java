package org.azurearch.sidecar.internal.suspect;

import org.azurearch.call.SuspectTable.Strike;

/**
 * A strike and whether it still counts.
 *
 * @param strike the strike, with its time on the steady clock of this node
 * @param cleared whether the request has completed since the crash
 */
public record StrikeEntry(Strike strike, boolean cleared) {
    /** Returns the key of the strike, which is the same at all nodes. */
    String key() {
        return strike.fingerprint() + "/" + strike.crash();
    }

    StrikeEntry asCleared() {
        return new StrikeEntry(strike, true);
    }
}
