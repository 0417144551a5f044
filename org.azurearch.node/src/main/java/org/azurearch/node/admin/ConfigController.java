package org.azurearch.node.admin;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.QueryValue;
import io.micronaut.scheduling.TaskExecutors;
import io.micronaut.scheduling.annotation.ExecuteOn;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.azurearch.admin.DiffReport;
import org.azurearch.admin.DocumentBody;
import org.azurearch.admin.DocumentsReport;
import org.azurearch.admin.ProblemReport;
import org.azurearch.admin.PublishRequest;
import org.azurearch.admin.RenderReport;
import org.azurearch.api.DiffCommand;
import org.azurearch.api.DiffResult;
import org.azurearch.api.FirmDocument;
import org.azurearch.api.RenderCommand;
import org.azurearch.api.RenderResult;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.errors.InvalidInputException;
import org.azurearch.fold.Document;
import org.azurearch.fold.DocumentName;
import org.azurearch.fold.FoldState;
import org.azurearch.lib.Digest;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.SiteId;
import org.azurearch.spread.ChangeService;

/** Returns a firm's configuration and previews changes to it. */
@Controller("/v1/firms/{firm}")
@ExecuteOn(TaskExecutors.BLOCKING)
public final class ConfigController {
    private static final String SITES_WITHOUT_OVERLAY = "(without overlay)";

    private final ChangeService mChanges;

    /** Creates a controller. */
    public ConfigController(ChangeService changes) {
        mChanges = changes;
    }

    /** Returns the current documents. */
    @Get("/documents")
    public DocumentsReport documents(HttpRequest<?> request, String firm) {
        FirmId firmId = requireReader(request, firm);
        FoldState state = mChanges.state();
        return new DocumentsReport(
                firm,
                state.version(firmId).number(),
                state.documents(firmId).stream().map(DocumentBody::of).toList());
    }

    /** Returns the merged configuration of a site. */
    @Get("/render")
    public RenderReport render(
            HttpRequest<?> request,
            String firm,
            @QueryValue String site,
            @QueryValue(defaultValue = "false") boolean explain) {
        FirmId firmId = requireReader(request, firm);
        SiteId siteId = SiteId.fromString(site);
        FoldState state = mChanges.state();
        RenderCommand command =
                new RenderCommand()
                        .setFirm(firmId)
                        .setSite(siteId)
                        .setExplain(explain)
                        .setRuleSet(state.ruleSet());
        state.documents(firmId).forEach(d -> command.addDocument(new FirmDocument(firmId, d)));
        RenderResult result = command.call();
        if (result.status() != RenderResult.Status.RENDERED) {
            throw new AzurearchException(
                    ErrorCode.NOT_FOUND, "firm " + firm + " has no accepted version yet");
        }
        return new RenderReport(
                firm,
                site,
                state.version(firmId).name(),
                contentDigest(state, firmId, siteId).name(),
                result.text());
    }

    /** Returns the differences that a change would make at each site, without publishing it. */
    @Post("/dry-run")
    public DiffReport dryRun(HttpRequest<?> request, String firm, @Body PublishRequest body) {
        FirmId firmId = FirmId.fromString(firm);
        TokenFilter.tokenOf(request).require(Role.PUBLISHER, firmId);
        FoldState state = mChanges.state();
        Map<DocumentName, Document> after = new TreeMap<>();
        state.documents(firmId).forEach(document -> after.put(document.name(), document));
        body.documents().stream()
                .map(DocumentBody::document)
                .forEach(document -> after.put(document.name(), document));
        body.removedOverlays()
                .forEach(site -> after.remove(DocumentName.overlay(SiteId.fromString(site))));
        DiffCommand command = new DiffCommand().setRuleSet(state.ruleSet());
        state.documents(firmId).forEach(d -> command.addBefore(new FirmDocument(firmId, d)));
        after.values().forEach(d -> command.addAfter(new FirmDocument(firmId, d)));
        return report(firm, state.version(firmId).name(), diff(command));
    }

    private static DiffResult diff(DiffCommand command) {
        try {
            return command.call();
        } catch (InvalidInputException e) {
            return new DiffResult(DiffResult.Status.INVALID, List.of(), e.problems());
        }
    }

    private static DiffReport report(String firm, String version, DiffResult result) {
        return new DiffReport(
                firm,
                version,
                result.status() == DiffResult.Status.INVALID ? "invalid" : "valid",
                result.problems().stream().map(ProblemReport::of).toList(),
                result.sites().stream().map(ConfigController::siteDiff).toList());
    }

    private static DiffReport.SiteDiff siteDiff(DiffResult.SiteDiff diff) {
        return new DiffReport.SiteDiff(
                diff.overlaySite().map(SiteId::name).orElse(SITES_WITHOUT_OVERLAY),
                diff.entries().stream().map(DiffResult.EntryDiff::text).toList());
    }

    private static Digest contentDigest(FoldState state, FirmId firm, SiteId site) {
        var config = state.configAt(site).firms().get(firm);
        return config == null ? Digest.EMPTY : config.digest();
    }

    private static FirmId requireReader(HttpRequest<?> request, String firm) {
        FirmId firmId = FirmId.fromString(firm);
        TokenFilter.tokenOf(request).require(Role.READER, firmId);
        return firmId;
    }
}
