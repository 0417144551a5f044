package org.azurearch.events;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against input of others that writes long lines, or lines of its own, into the log. */
class EventLogTest {
    @Test
    void longTextIsCut() {
        String bounded = (String) EventLog.bounded("x".repeat(60_000));
        assertTrue(bounded.length() < 600, "length " + bounded.length());
    }

    @Test
    void controlCharactersAreReplaced() {
        assertEquals("a?AZ0999 FAKE?b", EventLog.bounded("a\nAZ0999 FAKE\rb"));
    }

    @Test
    void otherArgumentsStayAsTheyAre() {
        assertEquals(7, EventLog.bounded(7));
        assertEquals("short text", EventLog.bounded("short text"));
    }
}
