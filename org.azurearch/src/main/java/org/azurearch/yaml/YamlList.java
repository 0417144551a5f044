package org.azurearch.yaml;

import java.util.List;
import org.azurearch.errors.SourceLocation;

/**
 * A list.
 *
 * @param items the items, in order
 * @param location where it starts
 */
public record YamlList(List<YamlNode> items, SourceLocation location) implements YamlNode {
    /** Takes a copy of the items. */
    public YamlList {
        items = List.copyOf(items);
    }

    @Override
    public String description() {
        return "a list";
    }
}
