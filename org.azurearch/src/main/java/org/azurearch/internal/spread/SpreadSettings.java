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
 * @param policy the distribution policy
 * @param readers the number of nodes per data centre that read the log
 * @param retention how long the platform keeps log records
 * @param snapshotEvery the number of records between two snapshots
 * @param peerTimeout the timeout of a request to a peer
 * @param startWait how long a node without state tries its peers before it reads the log; a random
 *     delay of up to the same length is added
 */
record SpreadSettings(
        SpreadPolicy policy,
        int readers,
        Duration retention,
        int snapshotEvery,
        Duration peerTimeout,
        Duration startWait) {
    private static final int DEFAULT_READERS = 2;
    private static final int DEFAULT_SNAPSHOT_EVERY = 200;
    private static final int RENEWALS_PER_RETENTION = 4;
    private static final Duration DEFAULT_RETENTION = Duration.ofHours(24);
    private static final Duration DEFAULT_PEER_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration DEFAULT_START_WAIT = Duration.ofSeconds(1);

    /** Reads the section {@code spread}. */
    static SpreadSettings from(SettingsSection root) {
        SettingsSection section = root.section("spread");
        return new SpreadSettings(
                policy(section.string("policy", ConvergencePolicy.NAME)),
                section.integer("readers", DEFAULT_READERS),
                section.duration("retention", DEFAULT_RETENTION),
                section.integer("snapshotEvery", DEFAULT_SNAPSHOT_EVERY),
                section.duration("peerTimeout", DEFAULT_PEER_TIMEOUT),
                section.duration("startWait", DEFAULT_START_WAIT));
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
