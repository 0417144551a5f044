package org.azurearch.internal.yaml;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.azurearch.yaml.YamlEntry;
import org.azurearch.yaml.YamlList;
import org.azurearch.yaml.YamlMapping;
import org.azurearch.yaml.YamlNode;
import org.azurearch.yaml.YamlScalar;
import org.jspecify.annotations.Nullable;

/** Converts YAML nodes to JSON nodes and to plain Java objects. */
public final class JsonForm {
    private static final JsonNodeFactory FACTORY = JsonNodeFactory.instance;

    private JsonForm() {}

    /** Returns the JSON form of a node. */
    public static JsonNode toJson(YamlNode node) {
        if (node instanceof YamlMapping mapping) {
            ObjectNode object = FACTORY.objectNode();
            for (YamlEntry entry : mapping.entries().values()) {
                object.set(entry.key(), toJson(entry.value()));
            }
            return object;
        }
        if (node instanceof YamlList list) {
            ArrayNode array = FACTORY.arrayNode();
            list.items().forEach(item -> array.add(toJson(item)));
            return array;
        }
        return toJson(((YamlScalar) node).value());
    }

    /** Returns a node as maps, lists, strings, numbers, booleans and nulls. */
    public static @Nullable Object toPlainObject(YamlNode node) {
        if (node instanceof YamlMapping mapping) {
            return toPlainObject(mapping);
        }
        if (node instanceof YamlList list) {
            List<@Nullable Object> items = new ArrayList<>();
            list.items().forEach(item -> items.add(toPlainObject(item)));
            return items;
        }
        return ((YamlScalar) node).value();
    }

    /** Returns a mapping as a map. */
    public static Map<?, ?> toPlainObject(YamlMapping mapping) {
        Map<Object, @Nullable Object> result = new LinkedHashMap<>();
        for (YamlEntry entry : mapping.entries().values()) {
            result.put(entry.key(), toPlainObject(entry.value()));
        }
        return result;
    }

    private static JsonNode toJson(@Nullable Object value) {
        if (value instanceof Long number) {
            return FACTORY.numberNode(number);
        }
        if (value instanceof Double number) {
            return FACTORY.numberNode(number);
        }
        if (value instanceof Boolean bool) {
            return FACTORY.booleanNode(bool);
        }
        return value == null ? FACTORY.nullNode() : FACTORY.textNode(value.toString());
    }
}
