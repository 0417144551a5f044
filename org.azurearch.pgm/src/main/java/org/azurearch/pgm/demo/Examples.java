package org.azurearch.pgm.demo;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.azurearch.admin.AdminClient;
import org.azurearch.admin.PublishCommand;
import org.azurearch.fold.Document;
import org.azurearch.fold.DocumentName;
import org.azurearch.lib.SiteId;

/**
 * The example documents of a firm.
 *
 * @param plan the firm
 * @param folder the folder {@code examples/FIRM}
 */
record Examples(FirmPlan plan, Path folder) {
    /** Returns a command that publishes the base and all overlays. */
    PublishCommand publishAll(AdminClient client) {
        PublishCommand command = new PublishCommand(client, plan.firm());
        documents().forEach(command::addDocument);
        return command;
    }

    /** Returns the base and all overlays. */
    List<Document> documents() {
        List<Document> documents = new ArrayList<>();
        documents.add(base());
        plan.dataCentres()
                .forEach(
                        dataCentre ->
                                documents.add(
                                        read(
                                                DocumentName.overlay(
                                                        SiteId.fromString(dataCentre.name())),
                                                folder.resolve(
                                                        "overlays/" + dataCentre + ".yaml"))));
        return documents;
    }

    /** Returns the base. */
    Document base() {
        return read(DocumentName.BASE, folder.resolve("base.yaml"));
    }

    /** Returns the base with lines added at its end. */
    Document baseWith(String lines) {
        String text = new String(base().text(), StandardCharsets.UTF_8);
        byte[] changed = (text + lines).getBytes(StandardCharsets.UTF_8);
        return Document.of(DocumentName.BASE, "base.yaml", changed);
    }

    /** Returns an overlay of the first site, with a route to a service that does not exist. */
    Document danglingOverlay() {
        String site = plan.dataCentres().get(0).name();
        String text =
                String.join(
                        "\n",
                        "azurearch: 1",
                        "kind: overlay",
                        "firm: " + plan.firm(),
                        "site: " + site,
                        "routes:",
                        "  lost:",
                        "    path: /lost",
                        "    service: no-such-service",
                        "    class: " + plan.calls().get(0).callClass(),
                        "    policy: read",
                        "");
        return Document.of(
                DocumentName.overlay(SiteId.fromString(site)),
                "overlays/" + site + ".yaml",
                text.getBytes(StandardCharsets.UTF_8));
    }

    private static Document read(DocumentName name, Path file) {
        try {
            return Document.of(name, file.toString(), Files.readAllBytes(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
