package org.azurearch.internal.member;

import java.time.Duration;
import org.azurearch.settings.SettingsSection;

/**
 * Periods and limits of the membership.
 *
 * @param probePeriodMillis time between two probes sent by a node
 * @param pingTimeoutMillis time without a reply after which other peers are asked to ping
 * @param suspicionMillis minimum time for a suspected node to refute; it grows with the logarithm
 *     of the size of the data centre
 * @param indirectProbes number of other peers that are asked to ping
 * @param fanOut number of nodes of its data centre to which a node sends each update at once
 * @param piggybackUpdates maximum number of updates piggybacked on one probe
 * @param relaysPerDataCentre number of nodes of a data centre that synchronise with other data
 *     centres
 * @param relayPeriodMillis time between two synchronisations by a relay
 * @param syncPeriodMillis time between two synchronisations within the data centre
 * @param deadProbePeriodMillis time between two attempts to contact dead nodes
 * @param tombstoneMillis how long records of nodes that left or died are kept
 * @param silentMillis time without success after which a relay declares a data centre silent
 * @param maxMembers maximum number of known nodes
 * @param maxBoardEntries maximum number of board entries
 */
record MemberPolicy(
        long probePeriodMillis,
        long pingTimeoutMillis,
        long suspicionMillis,
        int indirectProbes,
        int fanOut,
        int piggybackUpdates,
        int relaysPerDataCentre,
        long relayPeriodMillis,
        long syncPeriodMillis,
        long deadProbePeriodMillis,
        long tombstoneMillis,
        long silentMillis,
        int maxMembers,
        int maxBoardEntries) {
    private static final Duration PROBE_PERIOD = Duration.ofSeconds(1);
    private static final Duration PING_TIMEOUT = Duration.ofMillis(300);
    private static final Duration SUSPICION = Duration.ofSeconds(2);
    private static final int INDIRECT_PROBES = 3;
    private static final int FAN_OUT = 4;
    private static final int PIGGYBACK_UPDATES = 8;
    private static final int RELAYS_PER_DATA_CENTRE = 2;
    private static final Duration RELAY_PERIOD = Duration.ofSeconds(2);
    private static final Duration SYNC_PERIOD = Duration.ofSeconds(30);
    private static final Duration DEAD_PROBE_PERIOD = Duration.ofSeconds(5);
    private static final Duration TOMBSTONE = Duration.ofHours(1);
    private static final Duration SILENT = Duration.ofSeconds(10);
    private static final int MAX_MEMBERS = 16_384;
    private static final int MAX_BOARD_ENTRIES = 1_024;

    /** Reads the settings section {@code members}. */
    static MemberPolicy from(SettingsSection root) {
        SettingsSection section = root.section("members");
        return new MemberPolicy(
                section.duration("probePeriod", PROBE_PERIOD).toMillis(),
                section.duration("pingTimeout", PING_TIMEOUT).toMillis(),
                section.duration("suspicion", SUSPICION).toMillis(),
                section.integer("indirectProbes", INDIRECT_PROBES),
                section.integer("fanOut", FAN_OUT),
                section.integer("piggybackUpdates", PIGGYBACK_UPDATES),
                section.integer("relays", RELAYS_PER_DATA_CENTRE),
                section.duration("relayPeriod", RELAY_PERIOD).toMillis(),
                section.duration("syncPeriod", SYNC_PERIOD).toMillis(),
                section.duration("deadProbePeriod", DEAD_PROBE_PERIOD).toMillis(),
                section.duration("tombstone", TOMBSTONE).toMillis(),
                section.duration("silent", SILENT).toMillis(),
                section.integer("maxMembers", MAX_MEMBERS),
                section.integer("maxBoardEntries", MAX_BOARD_ENTRIES));
    }
}
