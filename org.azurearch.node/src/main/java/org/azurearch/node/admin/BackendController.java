package org.azurearch.node.admin;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Delete;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.Put;
import java.util.Locale;
import org.azurearch.admin.AnnouncementBody;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.events.EventLog;
import org.azurearch.member.LocalBackend;
import org.azurearch.node.NodeEvent;

/** Handles announcement, state and draining of the backend server behind this node. */
@Controller("/v1/backend")
public final class BackendController {
    private final LocalBackend mBackend;

    /** Creates a controller. */
    public BackendController(LocalBackend backend) {
        mBackend = backend;
    }

    /** Accepts an announcement or its renewal, from the same VM only. */
    @Put("/announcement")
    public BackendStatus announce(HttpRequest<?> request, @Body AnnouncementBody body) {
        requireLoopback(request);
        mBackend.announce(body.announcement());
        return status();
    }

    /** Withdraws the announcement, from the same VM only. */
    @Delete("/announcement")
    public BackendStatus withdraw(HttpRequest<?> request) {
        requireLoopback(request);
        mBackend.withdraw();
        return status();
    }

    /** Returns the state of the backend server. */
    @Get
    public BackendStatus show(HttpRequest<?> request) {
        TokenFilter.tokenOf(request).require(Role.READER);
        return status();
    }

    /** Drains the backend server at an operator's request. */
    @Post("/drain")
    public BackendStatus drain(HttpRequest<?> request) {
        AccessToken token = TokenFilter.tokenOf(request);
        token.require(Role.OPERATOR);
        EventLog.log(NodeEvent.DRAIN_ASKED, token.operator());
        mBackend.drain();
        return status();
    }

    private BackendStatus status() {
        return new BackendStatus(mBackend.state().name().toLowerCase(Locale.ROOT));
    }

    private static void requireLoopback(HttpRequest<?> request) {
        if (!request.getRemoteAddress().getAddress().isLoopbackAddress()) {
            throw new AzurearchException(
                    ErrorCode.FORBIDDEN, "announcements are taken from the same VM only");
        }
    }

    /**
     * The state of the backend server.
     *
     * @param state {@code starting}, {@code ready}, {@code draining} or {@code absent}
     */
    public record BackendStatus(String state) {}
}
