package org.azurearch.standin.http;

/** Handles the requests to a stand-in; may reply asynchronously. */
@FunctionalInterface
public interface HttpHandler {
    /**
     * Handles a request on the event loop of its connection; must not block.
     *
     * @param call the request, through which the handler replies
     */
    void handle(HttpCall call);
}
