package org.azurearch.sidecar.config;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.SplittableRandom;
import org.azurearch.errors.AzurearchException;
import org.junit.jupiter.api.Test;

/** Patches between contents, also damaged ones and those for another content. */
class ContentPatchTest {
    private static final int ROUTES = 600;
    private static final int ROUNDS = 200;

    @Test
    void patchForOneChangeOfLargeContentIsSmall() {
        byte[] before = content("1", ROUTES, "stock");
        byte[] after = content("2", ROUTES, "orders");
        byte[] patch = ContentPatch.between(before, after);
        assertArrayEquals(after, ContentPatch.apply(before, patch));
        assertTrue(before.length > 50_000, "large: " + before.length);
        assertTrue(patch.length < 500, "small: " + patch.length);
    }

    @Test
    void patchFromEmptyContentHoldsWholeContent() {
        byte[] whole = content("7", ROUTES, "stock");
        byte[] patch = ContentPatch.between(new byte[0], whole);
        assertArrayEquals(whole, ContentPatch.apply(new byte[0], patch));
        assertTrue(patch.length < whole.length / 4, "compressed: " + patch.length);
    }

    @Test
    void patchForAnotherContentIsRefused() {
        byte[] patch = ContentPatch.between(content("1", 50, "a"), content("2", 50, "b"));
        assertThrows(
                AzurearchException.class,
                () -> ContentPatch.apply(content("0", 50, "other-service"), patch));
        assertThrows(AzurearchException.class, () -> ContentPatch.apply(new byte[0], patch));
    }

    @Test
    void damagedPatchIsRefused() {
        byte[] patch = ContentPatch.between(new byte[0], content("1", 20, "a"));
        byte[] cut = Arrays.copyOf(patch, patch.length / 2);
        assertThrows(AzurearchException.class, () -> ContentPatch.apply(new byte[0], cut));
    }

    @Test
    void randomContentsAreRestored() {
        SplittableRandom random = new SplittableRandom(7);
        byte[] before = new byte[0];
        for (int round = 0; round < ROUNDS; round++) {
            byte[] after = new byte[random.nextInt(400)];
            for (int i = 0; i < after.length; i++) {
                after[i] = (byte) "ab}".charAt(random.nextInt(3));
            }
            byte[] patch = ContentPatch.between(before, after);
            assertArrayEquals(after, ContentPatch.apply(before, patch));
            before = after;
        }
    }

    private static byte[] content(String version, int routes, String lastService) {
        SplittableRandom names = new SplittableRandom(1);
        StringBuilder text = new StringBuilder("{\"version\":\"" + version + "\",\"rules\":[");
        for (int i = 0; i < routes; i++) {
            String service = i == routes / 2 ? lastService : "service-" + i % 3;
            text.append("{\"pathPrefix\":\"/")
                    .append(Long.toString(names.nextLong() >>> 24, 36))
                    .append("/\",\"action\":{\"service\":\"")
                    .append(service)
                    .append("\",\"timeout\":\"1200ms\",\"maxAttempts\":2}},");
        }
        return text.append("]}").toString().getBytes(StandardCharsets.UTF_8);
    }
}
