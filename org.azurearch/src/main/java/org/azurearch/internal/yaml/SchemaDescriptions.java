package org.azurearch.internal.yaml;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.azurearch.settings.Durations;

/** Describes what a schema expects, for messages. */
final class SchemaDescriptions {
    /** The description of a valid name. */
    static final String NAME =
            "a name of 1 to 96 lower-case letters, digits, dots, underscores and hyphens";

    private static final String NAME_PATTERN = "^[a-z0-9][a-z0-9._-]{0,95}$";

    private SchemaDescriptions() {}

    /** Returns the description of a type. */
    static String describeType(JsonNode type) {
        return switch (type.asText()) {
            case "object" -> "a mapping";
            case "array" -> "a list";
            case "integer" -> "a whole number";
            case "number" -> "a number";
            case "boolean" -> "true or false";
            case "string" -> "a text";
            default -> "one of " + type;
        };
    }

    /** Returns the description of a pattern. */
    static String describePattern(String pattern) {
        if (pattern.equals(NAME_PATTERN)) {
            return NAME;
        }
        if (pattern.equals(Durations.PATTERN)) {
            return "a duration such as 250ms, 4s, 5m, 2h or 1d";
        }
        if (pattern.startsWith("^/")) {
            return "a path such as /stock/levels without a slash at its end";
        }
        return "a text that matches " + pattern;
    }

    /** Returns the description of a bound or of a choice of values. */
    static String describeConstraint(String keyword, JsonNode value) {
        return switch (keyword) {
            case "minimum" -> "at least " + value.asText();
            case "maximum" -> "at most " + value.asText();
            case "minLength" -> "at least " + value.asText() + " characters";
            case "maxLength" -> "at most " + value.asText() + " characters";
            case "minItems", "minProperties" -> "at least " + value.asText() + " entries";
            case "maxItems", "maxProperties" -> "at most " + value.asText() + " entries";
            case "uniqueItems" -> "each item once";
            case "const" -> value.asText();
            case "enum" -> "one of " + String.join(", ", texts(value));
            default -> keyword + " " + value;
        };
    }

    private static List<String> texts(JsonNode array) {
        List<String> texts = new ArrayList<>();
        array.forEach(item -> texts.add(item.asText()));
        return texts;
    }
}
