package org.azurearch.kernel;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.ServiceLoader;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.events.EventLog;

/** Starts and stops plug-ins in dependency order and holds the registry of shared services. */
public final class Kernel implements AutoCloseable {
    private final Map<Class<?>, Object> mServices = new ConcurrentHashMap<>();
    private final Deque<Plugin> mStarted = new ArrayDeque<>();

    /**
     * Registers a service.
     *
     * @param type the type that the service is looked up by
     * @param service the service
     * @param <T> the type of the service
     */
    public <T> void register(Class<T> type, T service) {
        if (mServices.putIfAbsent(type, service) != null) {
            throw new AzurearchException(
                    ErrorCode.INTERNAL, "service registered twice: " + type.getName());
        }
    }

    /**
     * Returns a registered service.
     *
     * @throws AzurearchException with {@link ErrorCode#INTERNAL} if there is none
     */
    public <T> T service(Class<T> type) {
        return findService(type)
                .orElseThrow(
                        () ->
                                new AzurearchException(
                                        ErrorCode.INTERNAL, "no service: " + type.getName()));
    }

    /** Returns a registered service, or empty if there is none. */
    public <T> Optional<T> findService(Class<T> type) {
        return Optional.ofNullable(type.cast(mServices.get(type)));
    }

    /** Starts all plug-ins that the service loader finds on the class path. */
    public void startInstalled() {
        List<Plugin> found = new ArrayList<>();
        ServiceLoader.load(Plugin.class).forEach(found::add);
        start(found);
    }

    /**
     * Starts plug-ins, each after the plug-ins it requires.
     *
     * @throws AzurearchException if a requirement is missing or circular; plug-ins that have
     *     started keep running until {@link #close()}
     */
    public void start(Collection<? extends Plugin> plugins) {
        List<Plugin> pending = new ArrayList<>(plugins);
        pending.sort((a, b) -> a.name().compareTo(b.name()));
        Set<String> startedNames = new HashSet<>();
        mStarted.forEach(plugin -> startedNames.add(plugin.name()));
        while (!pending.isEmpty()) {
            Plugin next = firstReady(pending, startedNames);
            pending.remove(next);
            mStarted.push(next);
            next.start(this);
            startedNames.add(next.name());
            EventLog.log(KernelEvent.PLUGIN_STARTED, next.name());
        }
    }

    /** Stops all plug-ins in the reverse order of their start. */
    @Override
    public void close() {
        while (!mStarted.isEmpty()) {
            Plugin plugin = mStarted.pop();
            try {
                plugin.stop();
            } catch (RuntimeException e) {
                EventLog.log(KernelEvent.PLUGIN_STOP_FAILED, e, plugin.name(), e.toString());
            }
        }
    }

    private static Plugin firstReady(List<Plugin> pending, Set<String> startedNames) {
        for (Plugin plugin : pending) {
            if (startedNames.containsAll(plugin.requires())) {
                return plugin;
            }
        }
        throw new AzurearchException(
                ErrorCode.INTERNAL,
                "plug-ins with missing or circular requirements: "
                        + pending.stream().map(Plugin::name).toList());
    }
}
