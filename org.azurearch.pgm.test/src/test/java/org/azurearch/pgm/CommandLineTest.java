package org.azurearch.pgm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.approvaltests.Approvals;
import org.azurearch.junit.RepositoryFiles;
import org.azurearch.pgm.internal.CommandCatalog;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class CommandLineTest {
    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();

    @TempDir Path mFolder;

    static Stream<Arguments> badOverlays() {
        String head = "azurearch: 1\nkind: overlay\nfirm: regie\nsite: rennes\n";
        return Stream.of(
                Arguments.of(
                        "routes:\n  lost:\n    path: /lost\n    service: nobody\n"
                                + "    class: history\n    policy: read\n",
                        head,
                        ":8:",
                        "dangling-reference"),
                Arguments.of(
                        "services:\n  stock: {slots: 3}\n  stock: {slots: 4}\n",
                        head,
                        ":7:",
                        "yaml-duplicate-key"),
                Arguments.of("services:\n  stock: {slotz: 3}\n", head, ":6:", "unknown-key"),
                Arguments.of("services:\n  stock: {slots: many}\n", head, ":6:", "wrong-type"),
                Arguments.of("services: &a\n  stock: *a\n", head, ":5:", "yaml-alias"));
    }

    @Test
    void everyCommandHasHelp() {
        CommandCatalog catalog = new CommandCatalog();
        assertTrue(catalog.commands().size() >= 12, "commands: " + catalog.commands().size());
        for (Subcommand command : catalog.commands()) {
            String name = command.declaration().name();
            assertEquals(ExitCode.DONE, run(name, "--help"), name);
            assertTrue(out().contains("usage: azurearch " + name), name);
        }
    }

    @Test
    void usageListsTheCommands() {
        assertEquals(ExitCode.DONE, run("--help"));
        Approvals.verify(out());
    }

    @Test
    void unknownCommandSuggestsSimilarName() {
        assertEquals(ExitCode.USAGE, run("pubish"));
        assertTrue(err().contains("publish"), err());
    }

    @Test
    void missingOptionIsUsageError() {
        assertEquals(ExitCode.USAGE, run("status", "--node", "127.0.0.1:1", "--firm", "regie"));
        assertTrue(err().contains("--id"), err());
    }

    @Test
    void unreachableNodeIsUnavailable() {
        assertEquals(
                ExitCode.UNAVAILABLE,
                run("versions", "--node", "127.0.0.1:1", "--firm", "regie", "--token", "t"));
        assertTrue(err().contains("peer-unavailable"), err());
    }

    @Test
    void examplesAreValid() {
        for (String firm : new String[] {"regie", "korero"}) {
            assertEquals(ExitCode.DONE, run("check", examples(firm).toString()), out());
        }
    }

    @ParameterizedTest
    @MethodSource("badOverlays")
    void badOverlayIsRefusedWithFileAndLine(String body, String head, String line, String code)
            throws IOException {
        Path overlay = Files.writeString(mFolder.resolve("rennes.yaml"), head + body);
        String base = examples("regie").resolve("base.yaml").toString();
        assertEquals(
                ExitCode.REFUSED,
                run("check", "--base", base, "--overlay", overlay.toString()),
                out() + err());
        String text = out() + err();
        assertTrue(text.contains("rennes.yaml" + line), text);
        assertTrue(text.contains(code), text);
    }

    @Test
    void renderExplainsWhereValuesComeFrom() {
        assertEquals(
                ExitCode.DONE,
                run(
                        "render",
                        "--site",
                        "lamballe",
                        "--explain",
                        examples("regie").resolve("base.yaml").toString(),
                        examples("regie").resolve("overlays/lamballe.yaml").toString()));
        Approvals.verify(out().replace(RepositoryFiles.root().toString(), ""));
    }

    @Test
    void diffNamesWhatChangesAtEachSite() throws IOException {
        Path overlay =
                Files.writeString(
                        mFolder.resolve("lamballe.yaml"),
                        "azurearch: 1\nkind: overlay\nfirm: regie\nsite: lamballe\n"
                                + "services:\n  stock: {slots: 4}\n");
        String base = examples("regie").resolve("base.yaml").toString();
        assertEquals(ExitCode.DONE, run("diff", "--before", base, base, overlay.toString()), err());
        assertTrue(out().contains("lamballe"), out());
        assertTrue(out().contains("services.stock.slots: 20 -> 4"), out());
    }

    @Test
    void nodeWithInvalidSettingsDoesNotStart() throws IOException {
        Path settings =
                Files.writeString(
                        mFolder.resolve("node.yaml"),
                        "node:\n  mesh: m\n  id: n\n  dataCenter: d\n  region: r\n");
        assertEquals(ExitCode.USAGE, run("node", "--settings", settings.toString()));
        assertTrue(err().contains("node.yaml:4"), err());
        assertTrue(err().contains("dataCentre"), err());
    }

    private ExitCode run(String... arguments) {
        mOut.reset();
        mErr.reset();
        return new Main(stream(mOut), stream(mErr)).run(arguments);
    }

    private String out() {
        return mOut.toString(StandardCharsets.UTF_8);
    }

    private String err() {
        return mErr.toString(StandardCharsets.UTF_8);
    }

    private static PrintStream stream(ByteArrayOutputStream bytes) {
        return new PrintStream(bytes, true, StandardCharsets.UTF_8);
    }

    private static Path examples(String firm) {
        return RepositoryFiles.root().resolve("examples").resolve(firm);
    }
}
