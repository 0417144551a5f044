package org.azurearch.node.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.azurearch.admin.AdminClient;
import org.azurearch.admin.AnnouncementBody;
import org.azurearch.admin.ChangeReport;
import org.azurearch.admin.DiffReport;
import org.azurearch.admin.DocumentBody;
import org.azurearch.admin.PublishCommand;
import org.azurearch.admin.PublishRequest;
import org.azurearch.admin.RaiseCommand;
import org.azurearch.admin.ReadinessReport;
import org.azurearch.admin.RenderReport;
import org.azurearch.admin.StatusCommand;
import org.azurearch.admin.UndoCommand;
import org.azurearch.admin.VersionsCommand;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.fold.Document;
import org.azurearch.fold.DocumentName;
import org.azurearch.fold.Folds;
import org.azurearch.junit.Await;
import org.azurearch.lib.ChangeId;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.SiteId;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestMethodOrder;

@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
class AdminApiTest extends NodeFixture {
    private static final FirmId REGIE = FirmId.fromString("regie");
    private static final Duration MAX_WAIT = Duration.ofSeconds(20);
    private static final String BASE =
            String.join(
                    "\n",
                    "azurearch: 1",
                    "kind: base",
                    "firm: regie",
                    "classes: {orders: {priority: 0}}",
                    "policies:",
                    "  once: {attempts: 2, retryBudgetPercent: 10, queueLength: 2, queueWait: 1s}",
                    "services: {orders: {slots: 20, connections: 100}}",
                    "routes:",
                    "  order: {path: /orders, service: orders, class: orders, policy: once}",
                    "");

    @Test
    @Order(1)
    void nodeWithoutConfigurationReportsWhyItIsNotReady() {
        ReadinessReport report = client("").get("/v1/readiness", ReadinessReport.class);
        assertFalse(report.ready());
        assertTrue(report.reason().contains("configuration"), report.reason());
    }

    @Test
    @Order(2)
    void publishRequiresPublisherTokenOfTheFirm() {
        assertEquals(ErrorCode.UNAUTHENTICATED, errorOf(() -> publish("", BASE)));
        assertEquals(ErrorCode.UNAUTHENTICATED, errorOf(() -> publish("guess", BASE)));
        assertEquals(ErrorCode.FORBIDDEN, errorOf(() -> publish(REGIE_READER, BASE)));
        assertEquals(ErrorCode.FORBIDDEN, errorOf(() -> publish(RENNES_PUBLISHER, BASE)));
        assertEquals(ErrorCode.NOT_FOUND, errorOf(() -> publish(KORERO_OPERATOR, BASE)));
        assertEquals(0, new VersionsCommand(client(REGIE_READER), REGIE).call().current());
    }

    @Test
    @Order(3)
    void publishedBaseComesIntoForce() {
        ChangeReport report = publish(REGIE_OPERATOR, BASE);
        assertEquals("in-force", report.status());
        Await.until("ready", () -> client("").get("/v1/readiness", ReadinessReport.class).ready());
    }

    @Test
    @Order(4)
    void siteTokenPublishesOnlyOverlayOfItsSite() {
        assertEquals("in-force", publishOverlay(RENNES_PUBLISHER, "rennes").status());
        assertEquals(
                ErrorCode.FORBIDDEN, errorOf(() -> publishOverlay(RENNES_PUBLISHER, "quimper")));
        assertEquals(
                ErrorCode.FORBIDDEN,
                errorOf(() -> new UndoCommand(client(RENNES_PUBLISHER), REGIE).call()));
    }

    @Test
    @Order(5)
    void tokenOfAnotherFirmGetsNotFound() {
        AdminClient korero = client(KORERO_OPERATOR);
        assertEquals(ErrorCode.NOT_FOUND, errorOf(() -> new VersionsCommand(korero, REGIE).call()));
        assertEquals(
                ErrorCode.NOT_FOUND,
                errorOf(
                        () ->
                                korero.get(
                                        "/v1/firms/regie/render?site=rennes", RenderReport.class)));
    }

    @Test
    @Order(6)
    void renderExplainsAndDryRunChangesNothing() {
        AdminClient regie = client(REGIE_OPERATOR);
        RenderReport render =
                regie.get("/v1/firms/regie/render?site=rennes&explain=true", RenderReport.class);
        assertTrue(render.yaml().contains("rennes.yaml:"), render.yaml());
        long before = new VersionsCommand(regie, REGIE).call().current();
        DiffReport diff = dryRun(BASE.replace("slots: 20", "slots: 21"));
        assertEquals("valid", diff.status());
        assertTrue(diff.sites().toString().contains("slots: 20 -> 21"), diff.toString());
        DiffReport bad = dryRun(BASE.replace("service: orders", "service: nobody"));
        assertEquals("invalid", bad.status());
        assertEquals("dangling-reference", bad.problems().get(0).code());
        assertEquals(before, new VersionsCommand(regie, REGIE).call().current());
    }

    @Test
    @Order(7)
    void repeatedChangeIdReturnsFirstOutcome() {
        ChangeId id = ChangeId.fromString("repeated");
        ChangeReport first = publish(REGIE_OPERATOR, BASE + "# again\n", id);
        ChangeReport second = publish(REGIE_OPERATOR, BASE + "# another\n", id);
        assertEquals("in-force", first.status());
        assertEquals(first.outcome(), second.outcome());
    }

    @Test
    @Order(8)
    void unknownChangeHasStatusUnknown() {
        ChangeReport report =
                new StatusCommand(client(REGIE_READER), REGIE, ChangeId.fromString("never-seen"))
                        .call();
        assertEquals("unknown", report.status());
    }

    @Test
    @Order(9)
    void announcementNeedsNoTokenButDrainDoes() {
        AnnouncementBody body =
                new AnnouncementBody("regie", "orders", "127.0.0.1:9", "STARTING", 20, 5_000);
        String state = client("").put("/v1/backend/announcement", body, String.class);
        assertTrue(state.contains("starting"), state);
        assertEquals(
                ErrorCode.UNAUTHENTICATED,
                errorOf(() -> client("").post("/v1/backend/drain", "", String.class)));
        assertEquals(
                ErrorCode.FORBIDDEN,
                errorOf(() -> client(REGIE_READER).post("/v1/backend/drain", "", String.class)));
        AnnouncementBody malformed =
                new AnnouncementBody("regie", "orders", "nowhere", "STARTING", 20, 5_000);
        assertEquals(
                ErrorCode.BAD_NAME,
                errorOf(() -> client("").put("/v1/backend/announcement", malformed, String.class)));
    }

    @Test
    @Order(10)
    void metricsAreServedInBothForms() {
        String json = client("").get("/v1/metrics", String.class);
        assertTrue(json.contains("\"ring."), json);
        String text = client("").get("/v1/metrics/prometheus", String.class);
        assertTrue(text.contains("# TYPE azurearch_ring_"), text);
    }

    @Test
    @Order(11)
    void unknownPathAndMalformedBodyAreProblems() {
        assertEquals(
                ErrorCode.NOT_FOUND, errorOf(() -> client("").get("/v1/nothing", String.class)));
        assertEquals(
                ErrorCode.BAD_REQUEST,
                errorOf(
                        () ->
                                client(REGIE_OPERATOR)
                                        .post("/v1/firms/regie/changes", "text", String.class)));
    }

    @Test
    @Order(12)
    void operatorRaisesRuleSetUpToNewestSupported() {
        assertEquals(ErrorCode.FORBIDDEN, errorOf(() -> raise(RENNES_PUBLISHER, 2)));
        assertEquals(
                ErrorCode.UNKNOWN_RULE_SET,
                errorOf(() -> raise(REGIE_OPERATOR, Folds.NEWEST_RULE_SET + 1)));
        assertEquals("accepted", raise(REGIE_OPERATOR, 2).outcome().decision());
        assertEquals("in-force", publish(REGIE_OPERATOR, BASE + "# raised\n").status());
    }

    private static ChangeReport raise(String token, int ruleSet) {
        return new RaiseCommand(client(token), REGIE, ruleSet).setWait(MAX_WAIT).call();
    }

    private static ChangeReport publish(String token, String base) {
        return publish(token, base, ChangeId.fromString("c" + base.hashCode() + "-" + token));
    }

    private static ChangeReport publish(String token, String base, ChangeId id) {
        return new PublishCommand(client(token), REGIE)
                .addDocument(
                        Document.of(
                                DocumentName.BASE,
                                "base.yaml",
                                base.getBytes(StandardCharsets.UTF_8)))
                .setId(id)
                .setWait(MAX_WAIT)
                .call();
    }

    private static ChangeReport publishOverlay(String token, String site) {
        String text =
                "azurearch: 1\nkind: overlay\nfirm: regie\nsite: "
                        + site
                        + "\nservices: {orders: {slots: 12}}\n";
        return new PublishCommand(client(token), REGIE)
                .addDocument(
                        Document.of(
                                DocumentName.overlay(SiteId.fromString(site)),
                                site + ".yaml",
                                text.getBytes(StandardCharsets.UTF_8)))
                .setWait(MAX_WAIT)
                .call();
    }

    private static DiffReport dryRun(String base) {
        return client(REGIE_OPERATOR)
                .post(
                        "/v1/firms/regie/dry-run",
                        new PublishRequest(
                                "dry",
                                0,
                                List.of(new DocumentBody("base", "base.yaml", base)),
                                List.of(),
                                ""),
                        DiffReport.class);
    }

    private static ErrorCode errorOf(Runnable request) {
        return assertThrows(AzurearchException.class, request::run).code();
    }
}
