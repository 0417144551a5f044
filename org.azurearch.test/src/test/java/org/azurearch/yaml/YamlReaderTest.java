package org.azurearch.yaml;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.azurearch.errors.ErrorCode;
import org.azurearch.errors.InvalidInputException;
import org.azurearch.errors.Problem;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class YamlReaderTest {
    private static final String[] FRAGMENTS = {
        "a", "b", ":", " ", "\n", "\n  ", "- ", "{", "}", "[", "]", ",", "&x", "*x", "<<", "!!",
        "!!int", "!t", "|", ">", "\"", "'", "#", "?", "%", "---", "...", "~", "1", "0x1f", "é",
        "\u0000", "\t", "\uFEFF", "\\u", "@", "`"
    };

    private static Problem rejection(String text) {
        return rejection(text.getBytes(StandardCharsets.UTF_8));
    }

    private static Problem rejection(byte[] bytes) {
        InvalidInputException refused =
                assertThrows(InvalidInputException.class, () -> YamlReader.readMapping("f", bytes));
        return refused.problems().get(0);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "a: 1|b: 2|a: 3; YAML_DUPLICATE_KEY; 3",
                "a: &x|  b: *x; YAML_ALIAS; 1",
                "a: !!java.lang.Integer 1; YAML_SYNTAX; 1",
                "a: 1|b: !shape {c: 1}; YAML_SYNTAX; 2",
                "a: {b: 1}|c: {<<: {d: 1}}; YAML_SYNTAX; 2",
                "? [a]|: 1; YAML_SYNTAX; 1",
                "a: 1|b: [1, 2; YAML_SYNTAX; 2",
                "a: 1|---|b: 2; YAML_SYNTAX; 2",
                "- a; WRONG_TYPE; 1",
                "# nothing; YAML_SYNTAX; 0"
            })
    void rejectsWithCodeAndLine(String text, ErrorCode code, int line) {
        Problem problem = rejection(text.replace('|', '\n'));
        assertEquals(code, problem.code(), problem.text());
        assertEquals(line, problem.location().line(), problem.text());
    }

    @Test
    void rejectsExponentialAliasExpansion() {
        StringBuilder text = new StringBuilder("l0: &l0 [x, x, x, x, x, x, x, x, x, x]\n");
        for (int i = 1; i < 9; i++) {
            String below = "*l" + (i - 1);
            text.append("l").append(i).append(": &l").append(i).append(" [");
            text.append((below + ", ").repeat(9)).append(below).append("]\n");
        }
        assertEquals(ErrorCode.YAML_ALIAS, rejection(text.toString()).code());
    }

    @Test
    void rejectsNonUtf8AndOversizedInput() {
        Problem latin = rejection("a: 1\nb: caf\u00e9\n".getBytes(StandardCharsets.ISO_8859_1));
        assertEquals(ErrorCode.NOT_UTF8, latin.code());
        assertEquals(2, latin.location().line());
        byte[] large = "a: \n".repeat(YamlReader.MAX_BYTES).getBytes(StandardCharsets.UTF_8);
        assertEquals(ErrorCode.TOO_LARGE, rejection(large).code());
        assertEquals(ErrorCode.YAML_SYNTAX, rejection("a: " + "[".repeat(5000)).code());
        assertEquals(ErrorCode.YAML_SYNTAX, rejection("{a: ".repeat(5000)).code());
    }

    @Test
    void readsOnlyTheValuesOfJson() {
        String text = "a: no\nb: 012\nc: 12:30\nd: 2026-12-03\ne: 12\nf: true\ng: '7'\nh: 1.5\n";
        YamlMapping read = YamlReader.readMapping("f", text.getBytes(StandardCharsets.UTF_8));
        assertEquals("no", ((YamlScalar) read.value("a").orElseThrow()).value());
        assertEquals("012", ((YamlScalar) read.value("b").orElseThrow()).value());
        assertEquals("12:30", ((YamlScalar) read.value("c").orElseThrow()).value());
        assertEquals("2026-12-03", ((YamlScalar) read.value("d").orElseThrow()).value());
        assertEquals(12L, ((YamlScalar) read.value("e").orElseThrow()).value());
        assertEquals(true, ((YamlScalar) read.value("f").orElseThrow()).value());
        assertEquals("7", ((YamlScalar) read.value("g").orElseThrow()).value());
        assertEquals(1.5, ((YamlScalar) read.value("h").orElseThrow()).value());
        assertEquals(4, read.value("d").orElseThrow().location().line());
    }

    @Property(tries = 5000, seed = "21")
    void randomFragmentsAreReadOrRejected(@ForAll long seed) {
        Random random = new Random(seed);
        StringBuilder text = new StringBuilder();
        for (int i = random.nextInt(40); i >= 0; i--) {
            text.append(FRAGMENTS[random.nextInt(FRAGMENTS.length)]);
        }
        assertReadsOrRejects(text.toString().getBytes(StandardCharsets.UTF_8));
    }

    @Property(tries = 2000, seed = "22")
    void randomBytesAreReadOrRejected(@ForAll byte[] bytes) {
        assertReadsOrRejects(bytes);
    }

    private static void assertReadsOrRejects(byte[] bytes) {
        try {
            assertTrue(YamlReader.readMapping("f", bytes).entries().size() >= 0);
        } catch (InvalidInputException e) {
            assertFalse(e.problems().isEmpty());
        }
    }
}
