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

/** Answers requests to the node itself: for tickets, and for the handshake between nodes. */
final class NodeRequests {
    /** The request target from which callers obtain a ticket. */
    static final String TICKET_PATH = "/.well-known/azurearch/ticket";

    private NodeRequests() {}

    /** Answers a request to the node itself; returns false for any other request. */
    static boolean tryAnswer(
            HttpRequest request,
            CallerHandler caller,
            HopHandshakeServer handshake,
            CallWorker worker) {
        if (request.uri().equals(HopHandshake.PATH)) {
            caller.writeHead(handshake.answer(request));
            caller.writeBody(new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER));
            return true;
        }
        if (request.uri().equals(TICKET_PATH)) {
            writeTicket(caller, worker);
            return true;
        }
        return false;
    }

    private static void writeTicket(CallerHandler caller, CallWorker worker) {
        String ticket = worker.tickets().issue().text(worker.signer());
        byte[] body =
                ("{\"ticket\":\""
                                + ticket
                                + "\",\"validMillis\":"
                                + worker.settings().ticketLifetime().toMillis()
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
