package org.azurearch.standin.bench.mesh;

import com.codahale.metrics.MetricRegistry;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.azurearch.call.CallServer;
import org.azurearch.config.ConfigInForce;
import org.azurearch.config.MeshConfig;
import org.azurearch.kernel.Kernel;
import org.azurearch.kernel.NodeKernel;
import org.azurearch.lib.NetAddress;
import org.azurearch.member.LocalBackend;
import org.azurearch.member.MemberView;
import org.azurearch.settings.SettingsSection;
import org.azurearch.spread.ChangeService;
import org.azurearch.time.SystemTimerService;
import org.azurearch.time.TimerService;

/** A node that runs in this process with its own kernel. */
public final class MeshNode implements AutoCloseable {
    private final TimerService mTimers = new SystemTimerService();
    private final Map<Long, Long> mInForceNanosByOffset = new ConcurrentHashMap<>();
    private final SettingsSection mSettings;
    private final Kernel mKernel;

    /**
     * Starts a node.
     *
     * @param settings the settings of the node
     */
    public MeshNode(SettingsSection settings) {
        mSettings = settings;
        mKernel = startKernel(settings);
        ConfigInForce config = mKernel.service(ConfigInForce.class);
        config.addListener(this::recordInForce);
        MeshConfig current = config.current();
        if (current != null) {
            recordInForce(current);
        }
    }

    /** Returns the settings of the node. */
    public SettingsSection settings() {
        return mSettings;
    }

    /** Returns the kernel of the node. */
    public Kernel kernel() {
        return mKernel;
    }

    /** Returns the service that accepts changes. */
    public ChangeService changes() {
        return mKernel.service(ChangeService.class);
    }

    /** Returns this node's view of the members. */
    public MemberView members() {
        return mKernel.service(MemberView.class);
    }

    /** Returns the backend server behind this node. */
    public LocalBackend backend() {
        return mKernel.service(LocalBackend.class);
    }

    /** Returns the address at which the node accepts calls. */
    public NetAddress callsAddress() {
        return mKernel.service(CallServer.class).address();
    }

    /** Returns the address at which the node accepts peer messages. */
    public NetAddress peerAddress() {
        return members().self().peer();
    }

    /** Returns the offset of the configuration in force, -1 if there is none. */
    public long offsetInForce() {
        MeshConfig current = mKernel.service(ConfigInForce.class).current();
        return current == null ? -1 : current.offset();
    }

    /**
     * Returns when the record at an offset, or a later one, first came into force on this node.
     *
     * @param offset the offset of the record
     * @return the value of {@link System#nanoTime()} then; {@link Long#MAX_VALUE} if it has not yet
     */
    public long inForceNanos(long offset) {
        return mInForceNanosByOffset.entrySet().stream()
                .filter(entry -> entry.getKey() >= offset)
                .mapToLong(Map.Entry::getValue)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    /** Returns whether the record at an offset, or a later one, has come into force here. */
    public boolean hasInForce(long offset) {
        return inForceNanos(offset) != Long.MAX_VALUE;
    }

    /** Returns the sum of the counters whose names start with a prefix. */
    public long counterSum(String prefix) {
        return counterValues(prefix).values().stream().mapToLong(Long::longValue).sum();
    }

    /** Returns the counters whose names start with a prefix, by name. */
    public Map<String, Long> counterValues(String prefix) {
        Map<String, Long> values = new TreeMap<>();
        mKernel.service(MetricRegistry.class)
                .getCounters((name, metric) -> name.startsWith(prefix))
                .forEach((name, counter) -> values.put(name, counter.getCount()));
        return values;
    }

    @Override
    public void close() {
        mKernel.close();
        mTimers.close();
    }

    private void recordInForce(MeshConfig config) {
        mInForceNanosByOffset.putIfAbsent(config.offset(), System.nanoTime());
    }

    private Kernel startKernel(SettingsSection settings) {
        try {
            return NodeKernel.start(settings, mTimers);
        } catch (RuntimeException e) {
            mTimers.close();
            throw e;
        }
    }
}
