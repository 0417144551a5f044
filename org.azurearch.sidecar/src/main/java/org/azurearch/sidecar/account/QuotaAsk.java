package org.azurearch.sidecar.account;

import java.util.List;

/**
 * A message of a node to the coordinator of the quotas. It delegates the node's base share, reports
 * the tokens that it holds and asks for more.
 *
 * @param node the name of the node
 * @param epoch identifies the run of the node
 * @param sequence increases with each message of a run
 * @param acknowledged the sequence of the newest answered message
 * @param sentMillis when the message was sent, on the clock of the node
 * @param echoEpoch the run of the coordinator that sent the newest answer; 0 if there is none
 * @param echoMillis when it sent that answer, on its clock
 * @param members the number of nodes that hold a share, of which this one delegates its own; 0 for
 *     no delegation
 * @param release whether the node ends its delegation
 * @param entries the accounts for which something changed or is asked
 */
public record QuotaAsk(
        String node,
        long epoch,
        long sequence,
        long acknowledged,
        long sentMillis,
        long echoEpoch,
        long echoMillis,
        int members,
        boolean release,
        List<Entry> entries) {
    /**
     * The tokens of one account.
     *
     * @param account the name of the account
     * @param held the tokens that the node holds
     * @param needed the tokens for which requests of the most urgent rank wait
     * @param others the tokens for which other requests wait
     * @param soon the tokens that it expects to need until the next message
     * @param ahead the tokens that it would hold in reserve if the account has plenty
     * @param returned the tokens that it gives back
     */
    public record Entry(
            String account, int held, int needed, int others, int soon, int ahead, int returned) {}

    /** Copies the entries. */
    public QuotaAsk {
        entries = List.copyOf(entries);
    }
}
