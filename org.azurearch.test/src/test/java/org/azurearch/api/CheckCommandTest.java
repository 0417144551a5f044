package org.azurearch.api;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;
import org.approvaltests.Approvals;
import org.azurearch.errors.Problem;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class CheckCommandTest {
    private static final String HEAD = "azurearch: 1\nkind: base\nfirm: regie\n";
    private static final String PARTS =
            HEAD
                    + "classes: {fast: {priority: 1}}\n"
                    + "policies: {read: {attempts: 2}}\n"
                    + "services: {stock: {slots: 2, connections: 2}}\n";
    private static final String ROUTE = "class: fast, policy: read}\n";

    @TempDir Path mFolder;
    private final StringBuilder mReport = new StringBuilder();

    @Test
    void everyRuleNamesFileLineAndWhatWasExpected() throws IOException {
        check("missing service", PARTS + "routes:\n  r: {path: /r, service: stok, " + ROUTE);
        check("missing field", PARTS + "routes:\n  r: {path: /r, " + ROUTE);
        check("duplicate key", PARTS + "services: {}\n");
        check("unknown key", HEAD + "servces: {}\nservices: {a: {slotz: 1}}\n");
        check("wrong type", HEAD + "services:\n  a:\n    slots: many\n    slowStart: 10\n");
        check("nothing", HEAD + "services:\n  a:\n    slots:\n");
        check("range", HEAD + "limits: {share: 0}\nclasses: {a: {priority: 12}}\n");
        check("names", HEAD + "services:\n  Big_One: {}\n  ok: {probePath: health}\n");
        check("cyclic alias", HEAD + "services: &s\n  a: *s\n");
        check(
                "method",
                PARTS + "routes:\n  r: {path: /r, methods: [get], service: stock, " + ROUTE);
        check(
                "long deadline",
                PARTS + "routes:\n  r: {path: /, deadline: 2h, service: stock, " + ROUTE);
        check(
                "ambiguous",
                PARTS
                        + "routes:\n"
                        + "  one: {path: /r, methods: [GET, PUT], service: stock, "
                        + ROUTE
                        + "  two: {path: /r, methods: [PUT], service: stock, "
                        + ROUTE
                        + "  three: {path: /r, methods: [POST], service: stock, "
                        + ROUTE);
        check("site in base", HEAD + "site: rennes\nremove: {routes: [a]}\n");
        check("version of the format", "azurearch: 2\nkind: base\nfirm: regie\n");
        String overlay = "azurearch: 1\nkind: overlay\nfirm: regie\n";
        check("overlay alone", overlay + "site: rennes\n");
        check("overlay without site", overlay);
        check(
                "overlay removes",
                PARTS,
                overlay
                        + "site: rennes\n"
                        + "services: {stock: {slots: 1}}\n"
                        + "remove:\n"
                        + "  routes: [gone]\n"
                        + "  services: [stock]\n");
        check("two bases", PARTS, PARTS);
        Approvals.verify(mReport.toString());
    }

    @Test
    void missingFileIsOneProblem() {
        CheckResult result = new CheckCommand().addFile(mFolder.resolve("none.yaml")).call();
        assertEquals(CheckResult.Status.INVALID, result.status());
        assertEquals(
                CheckResult.Status.INVALID,
                new CheckCommand().addFile(mFolder).call().status(),
                "no document at all");
    }

    private void check(String title, String... texts) throws IOException {
        CheckCommand command = new CheckCommand();
        for (int i = 0; i < texts.length; i++) {
            Path file = mFolder.resolve("doc" + i + ".yaml");
            Files.writeString(file, texts[i]);
            command.addFile(file);
        }
        CheckResult result = command.call();
        mReport.append("# ").append(title).append(' ').append(result.status()).append('\n');
        mReport.append(
                result.problems().stream()
                        .map(Problem::text)
                        .map(text -> text.replace(mFolder + "/", "") + "\n")
                        .collect(Collectors.joining()));
    }
}
