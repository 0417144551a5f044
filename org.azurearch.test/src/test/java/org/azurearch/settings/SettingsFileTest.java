package org.azurearch.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import org.azurearch.errors.InvalidInputException;
import org.junit.jupiter.api.Test;

class SettingsFileTest {
    private static SettingsSection parse(String text) {
        return SettingsFile.parse("node.yaml", text.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void readsTheIdentity() {
        SettingsSection settings =
                parse("node: {mesh: both, id: n-1, dataCentre: rennes, region: bretagne}\n");
        assertEquals("n-1", NodeIdentity.from(settings).node().name());
    }

    @Test
    void reportsEveryProblemWithLineAndSuggestion() {
        InvalidInputException refused =
                assertThrows(
                        InvalidInputException.class,
                        () ->
                                parse(
                                        """
                                        node:
                                          mesh: 12
                                          id: n-1
                                          dataCenter: rennes
                                          region: bretagne
                                        logg: {}
                                        """));
        assertEquals(
                """
                node.yaml:1: missing key 'dataCentre' at node [missing-key]
                node.yaml:2: expected a text at node.mesh, found the whole number 12 [wrong-type]
                node.yaml:4: unknown key 'dataCenter' at node; did you mean 'dataCentre'? \
                [unknown-key]
                node.yaml:6: unknown key 'logg'; did you mean 'log'? [unknown-key]""",
                refused.getMessage());
    }
}
