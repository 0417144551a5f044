package org.azurearch.internal.config;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.azurearch.api.DiffResult.EntryDiff;
import org.azurearch.errors.SourceLocation;
import org.azurearch.yaml.YamlEntry;
import org.azurearch.yaml.YamlMapping;
import org.azurearch.yaml.YamlNode;
import org.jspecify.annotations.Nullable;

/** Compares two merged documents. */
public final class MergedDiff {
    private static final SourceLocation NO_LOCATION = new SourceLocation(Defaults.FILE, 0);

    private final List<EntryDiff> mDiffs = new ArrayList<>();

    private MergedDiff() {}

    /**
     * Returns the differences, in the order of the documents.
     *
     * @param before the document before, or null for none
     * @param after the document after, or null for none
     */
    public static List<EntryDiff> of(@Nullable YamlMapping before, @Nullable YamlMapping after) {
        MergedDiff diff = new MergedDiff();
        YamlMapping empty = YamlMapping.empty(NO_LOCATION);
        YamlMapping left = before == null ? empty : before;
        YamlMapping right = after == null ? empty : after;
        for (String section : keys(left, right)) {
            diff.compare(section, left.mapping(section), right.mapping(section));
        }
        return List.copyOf(diff.mDiffs);
    }

    private static Set<String> keys(YamlMapping left, YamlMapping right) {
        Set<String> keys = new LinkedHashSet<>(left.entries().keySet());
        keys.addAll(right.entries().keySet());
        return keys;
    }

    private void compare(String path, YamlMapping before, YamlMapping after) {
        for (String key : keys(before, after)) {
            compare(path + "." + key, before.entries().get(key), after.entries().get(key));
        }
    }

    private void compare(String path, @Nullable YamlEntry before, @Nullable YamlEntry after) {
        if (before == null) {
            if (after != null) {
                add(EntryDiff.Kind.ADDED, path, "", inline(after), after.location());
            }
            return;
        }
        if (after == null) {
            add(EntryDiff.Kind.REMOVED, path, inline(before), "", before.location());
            return;
        }
        YamlNode left = before.value();
        YamlNode right = after.value();
        if (left instanceof YamlMapping one && right instanceof YamlMapping other) {
            compare(path, one, other);
        } else if (!inline(before).equals(inline(after))) {
            add(EntryDiff.Kind.CHANGED, path, inline(before), inline(after), after.location());
        }
    }

    private void add(
            EntryDiff.Kind kind,
            String path,
            String before,
            String after,
            SourceLocation location) {
        mDiffs.add(
                new EntryDiff(kind, path, before, after, MergedPrinter.displayLocation(location)));
    }

    private static String inline(YamlEntry entry) {
        return MergedPrinter.inline(entry.value());
    }
}
