package org.azurearch.internal.spread;

import java.time.Duration;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.settings.SettingsSection;
import org.azurearch.spread.BytesPolicy;
import org.azurearch.spread.ConvergencePolicy;
import org.azurearch.spread.PollPolicy;
import org.azurearch.spread.SpreadPolicy;

/**
 * Settings of the section {@code spread}.
 *
 * @param policy how eagerly versions are spread
 * @param readers how many nodes of a data centre read the log
 * @param retention how long the platform keeps records
 * @param snapshotEvery how many records are folded between two snapshots
 * @param peerTimeout the longest that a request to a peer may take
 * @param startWait how long a node without state looks for peers before it reads the log; a random
 *     part of as much again is added
 */
record SpreadSettings(
        SpreadPolicy policy,
        int readers,
        Duration retention,
        int snapshotEvery,
        Duration peerTimeout,
        Duration startWait) {
    private static final int READERS = 2;
    private static final int SNAPSHOT_EVERY = 200;
    private static final int RENEWALS_PER_RETENTION = 4;
    private static final Duration RETENTION = Duration.ofHours(24);
    private static final Duration PEER_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration START_WAIT = Duration.ofSeconds(1);

    /** Reads the section {@code spread}. */
    static SpreadSettings from(SettingsSection root) {
        SettingsSection section = root.section("spread");
        return new SpreadSettings(
                policy(section.string("policy", ConvergencePolicy.NAME)),
                section.integer("readers", READERS),
                section.duration("retention", RETENTION),
                section.integer("snapshotEvery", SNAPSHOT_EVERY),
                section.duration("peerTimeout", PEER_TIMEOUT),
                section.duration("startWait", START_WAIT));
    }

    /** Returns the age at which the newest snapshot is renewed. */
    Duration renewAfter() {
        return retention.dividedBy(RENEWALS_PER_RETENTION);
    }

    private static SpreadPolicy policy(String name) {
        return switch (name) {
            case ConvergencePolicy.NAME -> new ConvergencePolicy();
            case BytesPolicy.NAME -> new BytesPolicy();
            case PollPolicy.NAME -> new PollPolicy();
            default ->
                    throw new AzurearchException(
                            ErrorCode.OUT_OF_RANGE,
                            "spread.policy: expected convergence, bytes or poll, not " + name);
        };
    }
}
