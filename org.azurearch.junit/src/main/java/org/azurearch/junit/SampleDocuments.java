package org.azurearch.junit;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.azurearch.fold.Change;
import org.azurearch.fold.ChangeCodec;
import org.azurearch.fold.Document;
import org.azurearch.fold.DocumentName;
import org.azurearch.fold.FoldState;
import org.azurearch.lib.ChangeId;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.OperatorId;
import org.azurearch.lib.SiteId;
import org.azurearch.log.LogRecord;

/**
 * Generates valid documents of a chosen size: services with two routes each, and overlays that
 * change some of them.
 */
public final class SampleDocuments {
    /** The services at the size to design for. */
    public static final int LARGE_SERVICES = 380;

    /** The sites at the size to design for. */
    public static final int LARGE_SITES = 11;

    private static final OperatorId OPERATOR = OperatorId.fromString("operator");
    private static final int OVERLAY_STEP = 10;
    private static final int DEADLINE_SECONDS = 2;

    private final FirmId mFirm;
    private final int mServices;
    private final int mSites;

    /**
     * Creates a generator.
     *
     * @param firm the firm
     * @param services the number of services in the base
     * @param sites the number of overlays
     */
    public SampleDocuments(FirmId firm, int services, int sites) {
        mFirm = firm;
        mServices = services;
        mSites = sites;
    }

    /** Returns the sites that have an overlay. */
    public List<SiteId> sites() {
        List<SiteId> sites = new ArrayList<>();
        for (int i = 1; i <= mSites; i++) {
            sites.add(SiteId.fromString("site-" + i));
        }
        return sites;
    }

    /**
     * Returns the base.
     *
     * @param edition changes the deadline of one route, so that two editions differ in one line
     */
    public Document base(int edition) {
        StringBuilder text = new StringBuilder();
        text.append("azurearch: 1\nkind: base\nfirm: ").append(mFirm).append('\n');
        text.append("classes: {orders: {priority: 0}, interactive: {priority: 1}}\n");
        text.append("policies: {once: {attempts: 2}, read: {attempts: 3, queueWait: 100ms}}\n");
        text.append("services:\n");
        for (int i = 0; i < mServices; i++) {
            text.append("  service-").append(i).append(": {slots: 20, connections: 100}\n");
        }
        text.append("routes:\n");
        for (int i = 0; i < mServices; i++) {
            int seconds = DEADLINE_SECONDS + (i == edition % mServices ? 1 + edition : 0);
            appendRoute(text, i, "read", "[GET]", "interactive", true, seconds);
            appendRoute(text, i, "once", "[POST]", "orders", false, DEADLINE_SECONDS);
        }
        return document(DocumentName.BASE, "base.yaml", text);
    }

    /**
     * Returns the overlay of a site.
     *
     * @param edition changes one line
     */
    public Document overlay(SiteId site, int edition) {
        StringBuilder text = new StringBuilder();
        text.append("azurearch: 1\nkind: overlay\nfirm: ").append(mFirm).append('\n');
        text.append("site: ").append(site).append('\n');
        text.append("limits: {callsPerSecond: ").append(edition).append("}\n");
        text.append("services:\n");
        for (int i = 0; i < mServices; i += OVERLAY_STEP) {
            text.append("  service-").append(i).append(": {connections: 60}\n");
        }
        return document(DocumentName.overlay(site), "overlays/" + site + ".yaml", text);
    }

    /** Returns the base and all overlays. */
    public List<Document> all(int edition) {
        List<Document> documents = new ArrayList<>();
        documents.add(base(edition));
        sites().forEach(site -> documents.add(overlay(site, edition)));
        return documents;
    }

    /**
     * Returns a change that publishes documents.
     *
     * @param id the id of the change
     * @param expectedVersion the version that the publisher saw
     */
    public Change publish(String id, long expectedVersion, List<Document> documents) {
        return new Change(
                ChangeId.fromString(id),
                Change.Kind.PUBLISH,
                mFirm,
                OPERATOR,
                1,
                expectedVersion,
                documents,
                List.of(),
                0,
                "",
                0);
    }

    /** Returns the record that would follow a state. */
    public static LogRecord record(FoldState state, Change change) {
        long offset = state.offset() + 1;
        return new LogRecord(offset, offset, ChangeCodec.encode(change));
    }

    private static void appendRoute(
            StringBuilder text,
            int service,
            String policy,
            String methods,
            String callClass,
            boolean idempotent,
            int deadlineSeconds) {
        text.append("  ").append(policy).append('-').append(service);
        text.append(": {path: /service-").append(service).append("/items, methods: ");
        text.append(methods).append(", service: service-").append(service);
        text.append(", class: ").append(callClass).append(", policy: ").append(policy);
        text.append(", idempotent: ").append(idempotent);
        text.append(", deadline: ").append(deadlineSeconds).append("s}\n");
    }

    private static Document document(DocumentName name, String file, StringBuilder text) {
        return Document.of(name, file, text.toString().getBytes(StandardCharsets.UTF_8));
    }
}
