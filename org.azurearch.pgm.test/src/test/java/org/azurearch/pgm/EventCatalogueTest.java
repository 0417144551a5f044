package org.azurearch.pgm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.azurearch.events.EventCode;
import org.azurearch.junit.RepositoryFiles;
import org.junit.jupiter.api.Test;

/** Checks that docs/EVENTS.md and docs/operators.md cover the events in the code. */
class EventCatalogueTest {
    private static final Pattern EVENT_ENUM = Pattern.compile("enum (\\w+) implements EventCode");
    private static final Pattern PACKAGE = Pattern.compile("(?m)^package ([\\w.]+);");

    private record DocumentedEvent(EventCode event, String meaning) {}

    @Test
    void everyNumberIsUsedOnce() {
        Set<Integer> numbers = new HashSet<>();
        for (DocumentedEvent documented : events()) {
            int number = documented.event().number();
            assertTrue(numbers.add(number), "number used twice: " + number);
        }
        assertTrue(numbers.size() > 20, "found only " + numbers);
    }

    @Test
    void catalogueMatchesTheCode() throws IOException {
        String expected = catalogue();
        Path received = Path.of("target", "EVENTS.md");
        Files.writeString(received, expected);
        assertEquals(
                expected,
                RepositoryFiles.read(RepositoryFiles.root().resolve("docs/EVENTS.md")),
                "docs/EVENTS.md differs from the code; the expected text is in " + received);
    }

    @Test
    void operatorGuideCoversEveryWarningAndError() {
        String page = RepositoryFiles.read(RepositoryFiles.root().resolve("docs/operators.md"));
        for (DocumentedEvent documented : events()) {
            EventCode event = documented.event();
            boolean needsAction = event.level().compareTo(EventCode.Level.WARN) >= 0;
            String label = String.format("AZ%04d", event.number());
            assertTrue(!needsAction || page.contains(label), "docs/operators.md lacks " + label);
        }
    }

    private static String catalogue() {
        StringBuilder page = new StringBuilder();
        page.append("# Events\n\nEach log event has a number that never changes its meaning. ");
        page.append("What to do about warnings and errors stands in\n[operators.md]");
        page.append("(operators.md). A test holds this page to the code.\n\n");
        page.append("| event | level | message | meaning |\n|---|---|---|---|\n");
        for (DocumentedEvent documented : events()) {
            EventCode event = documented.event();
            page.append(
                    String.format(
                            "| AZ%04d %s | %s | `%s` | %s |%n",
                            event.number(),
                            event.name(),
                            event.level().name().toLowerCase(java.util.Locale.ROOT),
                            event.message(),
                            documented.meaning()));
        }
        return page.toString();
    }

    private static List<DocumentedEvent> events() {
        List<DocumentedEvent> events = new ArrayList<>();
        for (Path file : RepositoryFiles.mainSources()) {
            String source = RepositoryFiles.read(file);
            Matcher matcher = EVENT_ENUM.matcher(source);
            if (matcher.find()) {
                events.addAll(eventsOf(source, matcher.group(1)));
            }
        }
        events.sort(Comparator.comparingInt(documented -> documented.event().number()));
        return events;
    }

    private static List<DocumentedEvent> eventsOf(String source, String name) {
        Matcher inPackage = PACKAGE.matcher(source);
        assertTrue(inPackage.find(), name);
        try {
            Class<?> type = Class.forName(inPackage.group(1) + "." + name);
            List<DocumentedEvent> events = new ArrayList<>();
            for (Object constant : type.getEnumConstants()) {
                EventCode event = (EventCode) constant;
                events.add(new DocumentedEvent(event, meaning(source, event.name())));
            }
            return events;
        } catch (ClassNotFoundException e) {
            throw new AssertionError(e);
        }
    }

    private static String meaning(String source, String constant) {
        Matcher matcher =
                Pattern.compile(
                                "/\\*\\*((?:(?!\\*/).)*)\\*/\\s*" + constant + "\\(",
                                Pattern.DOTALL)
                        .matcher(source);
        assertTrue(matcher.find(), "no doc comment on " + constant);
        return matcher.group(1)
                .replaceAll("\\s*\\*\\s*", " ")
                .replaceAll("\\{@\\w+ ([^}]*)}", "$1")
                .trim();
    }
}
