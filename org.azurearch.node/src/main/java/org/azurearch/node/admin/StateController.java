package org.azurearch.node.admin;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import java.util.Map;
import java.util.TreeMap;
import org.azurearch.admin.EndpointsReport;
import org.azurearch.admin.MemberReport;
import org.azurearch.admin.MembersReport;
import org.azurearch.admin.ReadinessReport;
import org.azurearch.config.ConfigInForce;
import org.azurearch.config.MeshConfig;
import org.azurearch.member.Endpoint;
import org.azurearch.member.EndpointView;
import org.azurearch.member.MemberView;

/** Serves health, readiness, and the members and backend servers known to the node. */
@Controller("/v1")
public final class StateController {
    private final ConfigInForce mConfig;
    private final MemberView mMembers;
    private final EndpointView mEndpoints;
    private final NodeReadiness mReadiness;

    /** Creates a controller. */
    public StateController(
            ConfigInForce config,
            MemberView members,
            EndpointView endpoints,
            NodeReadiness readiness) {
        mConfig = config;
        mMembers = members;
        mEndpoints = endpoints;
        mReadiness = readiness;
    }

    /** Answers as long as the process runs. */
    @Get("/health")
    public HealthReport health() {
        return new HealthReport("up");
    }

    /** Returns whether the node takes calls, with status 503 when it does not. */
    @Get("/readiness")
    public HttpResponse<ReadinessReport> readiness() {
        String reason = mReadiness.notReadyReason();
        ReadinessReport report = report(reason);
        return reason.isEmpty()
                ? HttpResponse.ok(report)
                : HttpResponse.<ReadinessReport>status(HttpStatus.SERVICE_UNAVAILABLE).body(report);
    }

    /** Lists the known nodes, with the backend servers of the token's firm only. */
    @Get("/members")
    public MembersReport members(HttpRequest<?> request) {
        AccessToken token = TokenFilter.tokenOf(request);
        token.require(Role.READER);
        return new MembersReport(
                nodeName(),
                mMembers.all().stream()
                        .map(m -> withEndpointsOfFirm(token, MemberReport.of(m)))
                        .toList());
    }

    /** Lists the backend servers of the token's firm. */
    @Get("/endpoints")
    public EndpointsReport endpoints(HttpRequest<?> request) {
        AccessToken token = TokenFilter.tokenOf(request);
        token.require(Role.READER);
        return new EndpointsReport(
                nodeName(),
                mEndpoints.all().stream()
                        .filter((Endpoint e) -> e.firm().equals(token.firm()))
                        .map(MemberReport.EndpointReport::of)
                        .toList());
    }

    private ReadinessReport report(String reason) {
        MeshConfig config = mConfig.current();
        if (config == null) {
            return new ReadinessReport(nodeName(), false, reason, -1, "", Map.of());
        }
        Map<String, Long> versions = new TreeMap<>();
        config.firms().forEach((firm, c) -> versions.put(firm.name(), c.version().number()));
        return new ReadinessReport(
                nodeName(),
                reason.isEmpty(),
                reason,
                config.offset(),
                config.digest().name(),
                versions);
    }

    private String nodeName() {
        return mMembers.self().node().name();
    }

    private static MemberReport withEndpointsOfFirm(AccessToken token, MemberReport member) {
        return new MemberReport(
                member.node(),
                member.dataCentre(),
                member.region(),
                member.state(),
                member.incarnation(),
                member.admin(),
                member.calls(),
                member.endpoints().stream()
                        .filter(endpoint -> endpoint.firm().equals(token.firm().name()))
                        .toList());
    }

    /**
     * The answer of the health check.
     *
     * @param status always {@code up}
     */
    public record HealthReport(String status) {}
}
