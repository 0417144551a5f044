package org.azurearch.sidecar.account;

import java.util.List;

/**
 * The coordinator's answer to a {@link QuotaAsk}.
 *
 * @param coordinator the name of the coordinator
 * @param epoch identifies the run of the coordinator
 * @param sequence the sequence of the message that it answers
 * @param sentMillis when the answer was sent, on the clock of the coordinator
 * @param echoMillis when the answered message was sent, on the clock of the node
 * @param released whether the coordinator no longer uses the base share of the node
 * @param grants the tokens granted, for each account asked for that the coordinator knows
 */
public record QuotaReply(
        String coordinator,
        long epoch,
        long sequence,
        long sentMillis,
        long echoMillis,
        boolean released,
        List<Grant> grants) {
    /**
     * Tokens of one account.
     *
     * @param account the name of the account
     * @param urgent tokens for the requests that wait; void unless used as soon as they arrive
     * @param held tokens that the node may hold
     * @param waitMillis how long until more are available; 0 if there are plenty
     */
    public record Grant(String account, int urgent, int held, int waitMillis) {}

    /** Copies the grants. */
    public QuotaReply {
        grants = List.copyOf(grants);
    }
}
