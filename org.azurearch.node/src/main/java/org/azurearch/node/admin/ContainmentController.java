package org.azurearch.node.admin;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Delete;
import io.micronaut.http.annotation.Get;
import org.azurearch.admin.ContainmentsReport;
import org.azurearch.call.CrashContainment;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.events.EventLog;
import org.azurearch.member.MemberView;
import org.azurearch.node.NodeEvent;

/** Lists and releases contained requests: requests refused because they crashed backend servers. */
@Controller("/v1/contained")
public final class ContainmentController {
    private final CrashContainment mContainment;
    private final MemberView mMembers;

    /** Creates a controller. */
    public ContainmentController(CrashContainment containment, MemberView members) {
        mContainment = containment;
        mMembers = members;
    }

    /** Lists the contained requests. */
    @Get
    public ContainmentsReport list(HttpRequest<?> request) {
        TokenFilter.tokenOf(request).require(Role.OPERATOR);
        return report();
    }

    /** Releases a contained request on every node. */
    @Delete("/{fingerprint}")
    public ContainmentsReport release(HttpRequest<?> request, String fingerprint) {
        AccessToken token = TokenFilter.tokenOf(request);
        token.require(Role.OPERATOR);
        if (mContainment.release(fingerprint) == CrashContainment.ReleaseStatus.UNKNOWN) {
            throw new AzurearchException(
                    ErrorCode.NOT_FOUND, "no contained request " + fingerprint);
        }
        EventLog.log(NodeEvent.CONTAINMENT_RELEASED, fingerprint, token.operator());
        return report();
    }

    private ContainmentsReport report() {
        return new ContainmentsReport(
                mMembers.self().node().name(),
                mContainment.containedRequests().stream()
                        .map(ContainmentsReport.ContainmentReport::of)
                        .toList());
    }
}
