package org.azurearch.lib;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class NamedIdTest {
    @Test
    void nameRoundTrips() {
        assertEquals("rennes-1.a_b", NodeId.fromString("rennes-1.a_b").name());
    }

    @Test
    void sameNameOfAnotherTypeIsNotEqual() {
        assertNotEquals((Object) SiteId.fromString("rennes"), DataCentreId.fromString("rennes"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "Rennes", "-a", "a b", "a/b", "é"})
    void malformedNameIsRefusedWithCode(String name) {
        AzurearchException e =
                assertThrows(AzurearchException.class, () -> FirmId.fromString(name));
        assertEquals(ErrorCode.BAD_NAME, e.code());
    }

    @ParameterizedTest
    @ValueSource(strings = {"regie", "regie@", "regie@x", "regie@-1", "@1"})
    void malformedVersionIsRefused(String text) {
        assertThrows(AzurearchException.class, () -> VersionId.fromString(text));
    }

    @Test
    void versionRoundTrips() {
        assertEquals("regie@12", VersionId.fromString("regie@12").name());
    }
}
