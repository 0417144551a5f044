package org.azurearch.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.azurearch.config.SiteConfig;
import org.junit.jupiter.api.Test;

class SettingsPageTest {
    private static final Path DOCS = Path.of("..", "docs");
    private static final Path GENERATED = Path.of("target", "settings.md");

    private static JsonNode schema(Class<?> anchor, String resource) throws IOException {
        try (InputStream input = anchor.getResourceAsStream(resource)) {
            return new ObjectMapper().readTree(input);
        }
    }

    @Test
    void pageOfSettingsEqualsTheSchema() throws IOException {
        SettingsPage page =
                new SettingsPage(schema(SettingsFile.class, "node-settings.schema.json"));
        String text = page.text();
        Files.writeString(GENERATED, text);
        assertEquals(List.of(), page.omissions());
        assertEquals(
                Files.readString(DOCS.resolve("settings.md")),
                text,
                "copy org.azurearch.test/target/settings.md over docs/settings.md");
    }

    @Test
    void pageOfDocumentsNamesEveryKey() throws IOException {
        String page = Files.readString(DOCS.resolve("documents.md"));
        JsonNode schema = schema(SiteConfig.class, "document.schema.json");
        assertNamed(page, schema);
        schema.path("$defs").forEach(definition -> assertNamed(page, definition));
    }

    private static void assertNamed(String page, JsonNode definition) {
        for (Map.Entry<String, JsonNode> entry : definition.path("properties").properties()) {
            String key = entry.getKey();
            assertTrue(page.contains("`" + key + "`"), () -> "documents.md lacks " + key);
        }
    }
}
