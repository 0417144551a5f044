package org.azurearch.standin.bench.mesh;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.azurearch.fold.Change;
import org.azurearch.fold.Document;
import org.azurearch.fold.DocumentName;
import org.azurearch.lib.ChangeId;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.OperatorId;
import org.azurearch.lib.SiteId;

/**
 * Generates the documents of a firm with a given number of services. Each variant of the base
 * differs from the previous one in the connections of a few services.
 *
 * @param firm the firm
 * @param services number of services
 * @param slots slots of each backend server
 * @param sites sites that have an overlay
 */
public record SampleDocuments(FirmId firm, int services, int slots, List<SiteId> sites) {
    private static final int QUEUE_LENGTH = 20;
    private static final int BASE_CONNECTIONS = 100;

    /** Takes a copy of the sites. */
    public SampleDocuments {
        sites = List.copyOf(sites);
    }

    /** Returns the name of a service. */
    public static String serviceName(int number) {
        return "service" + number;
    }

    /**
     * Returns the text of a variant of the base.
     *
     * @param variant number of the variant, 0 for the first
     * @param changedServices number of services that differ from the previous variant
     */
    public String baseText(int variant, int changedServices) {
        StringBuilder text = new StringBuilder();
        text.append("azurearch: 1\nkind: base\nfirm: ").append(firm).append('\n');
        text.append("limits: {callsPerSecond: 0, share: 1}\n");
        text.append("classes:\n  orders: {priority: 0}\n  interactive: {priority: 1}\n");
        text.append("  history: {priority: 5}\n");
        text.append("policies:\n");
        text.append("  once: {attempts: 2, retryBudgetPercent: 10, queueLength: ")
                .append(QUEUE_LENGTH)
                .append(", queueWait: 200ms}\n");
        text.append("  read: {attempts: 3, retryBudgetPercent: 20, queueLength: ")
                .append(QUEUE_LENGTH)
                .append(", queueWait: 200ms}\n");
        text.append("services:\n");
        for (int number = 0; number < services; number++) {
            appendService(text, number, connections(number, variant, changedServices));
        }
        text.append("routes:\n");
        for (int number = 0; number < services; number++) {
            appendRoutes(text, serviceName(number));
        }
        return text.toString();
    }

    /** Returns the text of the overlay of a site. */
    public String overlayText(SiteId site) {
        return "azurearch: 1\nkind: overlay\nfirm: "
                + firm
                + "\nsite: "
                + site
                + "\nservices:\n  "
                + serviceName(0)
                + ": {connections: 50}\n";
    }

    /** Returns the first change, which publishes the base and all overlays. */
    public Change firstChange(long nowMillis) {
        List<Document> documents = new ArrayList<>();
        documents.add(document(DocumentName.BASE, "base.yaml", baseText(0, 0)));
        for (SiteId site : sites) {
            String file = "overlays/" + site + ".yaml";
            documents.add(document(DocumentName.overlay(site), file, overlayText(site)));
        }
        return change("first", 0, documents, nowMillis);
    }

    /** Returns the change that publishes a variant of the base on top of a version. */
    public Change nextChange(int variant, int changedServices, long version, long nowMillis) {
        Document base =
                document(DocumentName.BASE, "base.yaml", baseText(variant, changedServices));
        return change("variant" + variant, version, List.of(base), nowMillis);
    }

    private Change change(
            String id, long expectedVersion, List<Document> documents, long nowMillis) {
        return new Change(
                ChangeId.fromString(firm + "-" + id),
                Change.Kind.PUBLISH,
                firm,
                OperatorId.fromString("bench"),
                1,
                expectedVersion,
                documents,
                List.of(),
                0,
                "",
                nowMillis);
    }

    private static Document document(DocumentName name, String file, String text) {
        return Document.of(name, file, text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns the connections of a service. Each variant increments those of the next few services,
     * in turn.
     */
    private int connections(int number, int variant, int changedServices) {
        int increments = 0;
        for (int step = 1; step <= variant; step++) {
            int first = (step - 1) * changedServices % services;
            if (Math.floorMod(number - first, services) < changedServices) {
                increments++;
            }
        }
        return BASE_CONNECTIONS + increments;
    }

    private void appendService(StringBuilder text, int number, int connections) {
        text.append("  ").append(serviceName(number)).append(": {slots: ").append(slots);
        text.append(", connections: ").append(connections);
        text.append(", slowStart: 10s, probePath: /health, probePeriod: 2s}\n");
    }

    private static void appendRoutes(StringBuilder text, String service) {
        text.append("  ").append(service).append("-read: {path: /").append(service);
        text.append("/read, methods: [GET], service: ").append(service);
        text.append(", class: interactive, policy: read, idempotent: true, deadline: 2s}\n");
        text.append("  ").append(service).append("-history: {path: /").append(service);
        text.append("/history, methods: [GET], service: ").append(service);
        text.append(", class: history, policy: read, idempotent: true, deadline: 5s}\n");
        text.append("  ").append(service).append("-order: {path: /").append(service);
        text.append("/order, methods: [POST], service: ").append(service);
        text.append(", class: orders, policy: once, idempotent: false, deadline: 5s}\n");
    }
}
