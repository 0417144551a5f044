package org.azurearch.pgm;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.Locale;
import java.util.ResourceBundle;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class PgmTextTest {
    @Test
    void everyConstantHasExactlyOneText() {
        ResourceBundle texts = ResourceBundle.getBundle("org.azurearch.pgm.PgmText", Locale.ROOT);
        assertEquals(
                Arrays.stream(PgmText.values())
                        .map(PgmText::name)
                        .collect(Collectors.toCollection(TreeSet::new)),
                new TreeSet<>(texts.keySet()));
    }
}
