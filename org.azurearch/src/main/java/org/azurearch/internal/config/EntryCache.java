package org.azurearch.internal.config;

import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.azurearch.errors.Problem;
import org.azurearch.yaml.YamlEntry;

/**
 * Compiled entries of one section of a base, by the entry object itself.
 *
 * @param <V> the compiled form
 */
final class EntryCache<V> {
    private final YamlEntrySet mShared;
    private final Map<YamlEntry, V> mCompiled =
            Collections.synchronizedMap(new IdentityHashMap<>());

    /** Says which entries belong to the base. */
    interface YamlEntrySet {
        boolean contains(YamlEntry entry);
    }

    /**
     * Creates a cache.
     *
     * @param shared the entries of the base; others are compiled each time
     */
    EntryCache(YamlEntrySet shared) {
        mShared = shared;
    }

    /**
     * Returns the compiled form of an entry; kept when it is of the base and has no problem.
     *
     * @param problems takes the problems that compiling finds
     */
    V get(YamlEntry entry, List<Problem> problems, Supplier<V> compile) {
        V known = mCompiled.get(entry);
        if (known != null) {
            return known;
        }
        int before = problems.size();
        V compiled = compile.get();
        if (problems.size() == before && mShared.contains(entry)) {
            mCompiled.put(entry, compiled);
        }
        return compiled;
    }
}
