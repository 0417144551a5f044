package org.azurearch.api;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import org.approvaltests.Approvals;
import org.azurearch.lib.SiteId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ExamplesTest {
    private static final Path EXAMPLES = Path.of("..", "examples");

    @ParameterizedTest
    @ValueSource(strings = {"regie", "korero"})
    void exampleIsValid(String firm) {
        CheckResult result = new CheckCommand().addFile(EXAMPLES.resolve(firm)).call();
        assertEquals(List.of(), result.problems());
        assertEquals(CheckResult.Status.VALID, result.status());
    }

    @Test
    void renderExplainsEachValue() {
        RenderResult result =
                new RenderCommand()
                        .addFile(EXAMPLES.resolve("regie"))
                        .setSite(SiteId.fromString("lamballe"))
                        .setExplain(true)
                        .call();
        Approvals.verify(result.text());
    }

    @Test
    void diffShowsEachSite() {
        DiffResult result =
                new DiffCommand()
                        .addBefore(EXAMPLES.resolve("regie/base.yaml"))
                        .addAfter(EXAMPLES.resolve("regie"))
                        .call();
        Approvals.verify(
                result.sites().stream().map(ExamplesTest::text).collect(Collectors.joining()));
    }

    private static String text(DiffResult.SiteDiff site) {
        return site.overlaySite().map(SiteId::name).orElse("other sites")
                + "\n"
                + site.entries().stream()
                        .map(entry -> "  " + entry.text() + "\n")
                        .collect(Collectors.joining());
    }
}
