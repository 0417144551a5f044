package org.azurearch.internal.call;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import org.azurearch.call.CallHeaders;
import org.azurearch.lib.Verdict;

/** Answers requests that are for the node itself: tickets, and proofs between nodes. */
final class OwnAnswers {
    /** The request target under which callers ask for a ticket. */
    static final String TICKET_PATH = "/.well-known/azurearch/ticket";

    private OwnAnswers() {}

    /** Writes the answer when the request is for the node itself, and says whether it was. */
    static boolean answered(
            HttpRequest request, CallerHandler caller, HopAcceptor acceptor, Lane lane) {
        if (request.uri().equals(HopProof.PATH)) {
            caller.writeHead(acceptor.answer(request));
            caller.writeBody(new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER));
            return true;
        }
        if (request.uri().equals(TICKET_PATH)) {
            writeTicket(caller, lane);
            return true;
        }
        return false;
    }

    private static void writeTicket(CallerHandler caller, Lane lane) {
        String ticket = lane.tickets().issue().text(lane.signer());
        byte[] body =
                ("{\"ticket\":\""
                                + ticket
                                + "\",\"validMillis\":"
                                + lane.settings().ticketLifetime().toMillis()
                                + "}")
                        .getBytes(StandardCharsets.UTF_8);
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        head.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        head.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        head.headers().set(HttpHeaderNames.CACHE_CONTROL, "no-store");
        head.headers().set(CallHeaders.VERDICT, Verdict.RAN.headerValue());
        head.headers().set(CallHeaders.TICKET, ticket);
        caller.writeHead(head);
        caller.writeBody(new DefaultLastHttpContent(Unpooled.wrappedBuffer(body)));
    }
}
