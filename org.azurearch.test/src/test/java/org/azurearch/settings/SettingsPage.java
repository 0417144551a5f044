package org.azurearch.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Renders the settings schema as the page for operators, and collects omissions in it. */
final class SettingsPage {
    private static final String INTRODUCTION =
            """
            # Settings

            A node reads one YAML file. It is checked against a schema before anything starts;
            every problem is named with file, line, what was expected and, for an unknown key, a
            near name. This page is generated from the schema. Durations are a whole number and a
            unit: `250ms`, `4s`, `5m`, `2h`, `1d`. Addresses are an IP address and a port, such as
            `127.0.0.1:7000` or `[::1]:7000`. Names have 1 to 96 lower-case letters, digits, dots,
            underscores and hyphens.
            """;

    private final JsonNode mSchema;
    private final StringBuilder mText = new StringBuilder(INTRODUCTION);
    private final List<String> mOmissions = new ArrayList<>();

    SettingsPage(JsonNode schema) {
        mSchema = schema;
    }

    /** Returns the page. */
    String text() {
        for (Map.Entry<String, JsonNode> section : mSchema.path("properties").properties()) {
            appendSection(section.getKey(), resolved(section.getValue()));
        }
        return mText.toString();
    }

    /** Returns a message for each key without description and each number without bounds. */
    List<String> omissions() {
        return mOmissions;
    }

    private void appendSection(String path, JsonNode section) {
        mText.append("\n## ").append(path).append("\n\n");
        mText.append(section.path("description").asText()).append('\n');
        if (section.path("properties").isEmpty()) {
            return;
        }
        mText.append("\n| key | value | meaning |\n|---|---|---|\n");
        List<String> required = new ArrayList<>();
        section.path("required").forEach(name -> required.add(name.asText()));
        List<Runnable> nested = new ArrayList<>();
        for (Map.Entry<String, JsonNode> entry : section.path("properties").properties()) {
            String childPath = path + "." + entry.getKey();
            JsonNode value = resolved(entry.getValue());
            JsonNode items = resolved(value.path("items"));
            appendRow(childPath, entry, required.contains(entry.getKey()));
            if (value.has("properties")) {
                nested.add(() -> appendSection(childPath, value));
            } else if (items.has("properties")) {
                nested.add(() -> appendSection(childPath + "[]", items));
            }
        }
        nested.forEach(Runnable::run);
    }

    private void appendRow(String path, Map.Entry<String, JsonNode> entry, boolean required) {
        JsonNode declared = entry.getValue();
        JsonNode value = resolved(declared);
        String meaning = declared.path("description").asText(value.path("description").asText());
        if (meaning.isEmpty()) {
            mOmissions.add(path + " has no description");
        }
        boolean number = value.path("type").asText().matches("integer|number");
        if (number && !(value.has("minimum") && value.has("maximum"))) {
            mOmissions.add(path + " has no minimum or no maximum");
        }
        String extra = required ? " Required." : "";
        if (declared.has("default")) {
            extra += " `" + declared.path("default").asText() + "` by default.";
        }
        mText.append("| `").append(entry.getKey()).append("` | ").append(typeText(declared));
        mText.append(" | ").append(meaning).append(extra).append(" |\n");
    }

    private String typeText(JsonNode declared) {
        String reference = declared.path("$ref").asText();
        JsonNode value = resolved(declared);
        if (value.has("properties")) {
            return "section";
        }
        if (!reference.isEmpty()) {
            return reference.substring(reference.lastIndexOf('/') + 1);
        }
        if (value.has("enum")) {
            List<String> choices = new ArrayList<>();
            value.path("enum").forEach(choice -> choices.add("`" + choice.asText() + "`"));
            return String.join(", ", choices);
        }
        return switch (value.path("type").asText()) {
            case "integer", "number" ->
                    value.path("minimum").asText() + " to " + value.path("maximum").asText();
            case "boolean" -> "`true`, `false`";
            case "array" -> "list of " + typeText(value.path("items"));
            default -> "text";
        };
    }

    private JsonNode resolved(JsonNode node) {
        String reference = node.path("$ref").asText();
        return reference.isEmpty() ? node : mSchema.at(reference.substring(1));
    }
}
