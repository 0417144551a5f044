package org.azurearch.node.admin;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Post;
import io.micronaut.scheduling.TaskExecutors;
import io.micronaut.scheduling.annotation.ExecuteOn;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.azurearch.admin.ChangeAppended;
import org.azurearch.admin.ChangeReport;
import org.azurearch.admin.DocumentBody;
import org.azurearch.admin.PublishRequest;
import org.azurearch.admin.RaiseRequest;
import org.azurearch.admin.UndoRequest;
import org.azurearch.admin.VersionsReport;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.events.EventLog;
import org.azurearch.fold.Change;
import org.azurearch.fold.Document;
import org.azurearch.fold.FoldState;
import org.azurearch.fold.Folds;
import org.azurearch.lib.ChangeId;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.SiteId;
import org.azurearch.node.NodeEvent;
import org.azurearch.spread.ChangeService;
import org.azurearch.time.TimerService;

/** Submits changes of a firm and returns their status. */
@Controller("/v1/firms/{firm}")
@ExecuteOn(TaskExecutors.BLOCKING)
public final class ChangesController {
    private final ChangeService mChanges;
    private final TimerService mTimers;

    /** Creates a controller. */
    public ChangesController(ChangeService changes, TimerService timers) {
        mChanges = changes;
        mTimers = timers;
    }

    /** Submits a change of documents. */
    @Post("/changes")
    public CompletableFuture<HttpResponse<ChangeAppended>> publish(
            HttpRequest<?> request, String firm, @Body PublishRequest body) {
        FirmId firmId = FirmId.fromString(firm);
        AccessToken token = TokenFilter.tokenOf(request);
        token.require(Role.PUBLISHER, firmId);
        List<Document> documents = body.documents().stream().map(DocumentBody::document).toList();
        List<SiteId> removed = body.removedOverlays().stream().map(SiteId::fromString).toList();
        requireSites(token, documents, removed);
        return submit(
                new Change(
                        ChangeId.fromString(body.id()),
                        Change.Kind.PUBLISH,
                        firmId,
                        token.operator(),
                        mChanges.state().ruleSet(),
                        body.expectedVersion(),
                        documents,
                        removed,
                        0,
                        body.note(),
                        mTimers.time().wallMillis()));
    }

    /** Submits an undo. */
    @Post("/undo")
    public CompletableFuture<HttpResponse<ChangeAppended>> undo(
            HttpRequest<?> request, String firm, @Body UndoRequest body) {
        FirmId firmId = FirmId.fromString(firm);
        AccessToken token = TokenFilter.tokenOf(request);
        token.require(Role.PUBLISHER, firmId);
        token.requireAllSites();
        return submit(
                new Change(
                        ChangeId.fromString(body.id()),
                        Change.Kind.UNDO,
                        firmId,
                        token.operator(),
                        mChanges.state().ruleSet(),
                        body.expectedVersion(),
                        List.of(),
                        List.of(),
                        body.undoTo(),
                        body.note(),
                        mTimers.time().wallMillis()));
    }

    /**
     * Submits a raise of the rule set. A rule set that this program does not support is refused
     * here, because it would block every node.
     */
    @Post("/rule-set")
    public CompletableFuture<HttpResponse<ChangeAppended>> raise(
            HttpRequest<?> request, String firm, @Body RaiseRequest body) {
        FirmId firmId = FirmId.fromString(firm);
        AccessToken token = TokenFilter.tokenOf(request);
        token.require(Role.OPERATOR, firmId);
        token.requireAllSites();
        if (body.ruleSet() > Folds.NEWEST_RULE_SET) {
            throw new AzurearchException(
                    ErrorCode.UNKNOWN_RULE_SET,
                    "this node supports rule sets up to " + Folds.NEWEST_RULE_SET);
        }
        return submit(
                new Change(
                        ChangeId.fromString(body.id()),
                        Change.Kind.RAISE_RULE_SET,
                        firmId,
                        token.operator(),
                        body.ruleSet(),
                        0,
                        List.of(),
                        List.of(),
                        0,
                        body.note(),
                        mTimers.time().wallMillis()));
    }

    /** Returns the status of a change. */
    @Get("/changes/{change}")
    public CompletableFuture<ChangeReport> status(
            HttpRequest<?> request, String firm, String change) {
        FirmId firmId = FirmId.fromString(firm);
        TokenFilter.tokenOf(request).require(Role.READER, firmId);
        ChangeId id = ChangeId.fromString(change);
        return mChanges.progress(firmId, id).thenApply(ChangeReport::of);
    }

    /** Lists the retained decisions on the firm's changes. */
    @Get("/versions")
    public VersionsReport versions(HttpRequest<?> request, String firm) {
        FirmId firmId = FirmId.fromString(firm);
        TokenFilter.tokenOf(request).require(Role.READER, firmId);
        FoldState state = mChanges.state();
        return new VersionsReport(
                firm,
                state.version(firmId).number(),
                state.offset(),
                state.digest().name(),
                state.history(firmId).stream().map(ChangeReport.Outcome::of).toList());
    }

    private CompletableFuture<HttpResponse<ChangeAppended>> submit(Change change) {
        return mChanges.submit(change)
                .thenApply(
                        offset -> {
                            EventLog.log(
                                    NodeEvent.CHANGE_SUBMITTED,
                                    change.id(),
                                    change.firm(),
                                    change.operator(),
                                    offset);
                            return HttpResponse.accepted()
                                    .body(new ChangeAppended(change.id().name(), offset));
                        });
    }

    private static void requireSites(
            AccessToken token, List<Document> documents, List<SiteId> removed) {
        for (Document document : documents) {
            document.name()
                    .overlaySite()
                    .ifPresentOrElse(token::requireSite, token::requireAllSites);
        }
        removed.forEach(token::requireSite);
    }
}
