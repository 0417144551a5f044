package org.azurearch.standin.http;

/** Answers the requests of a stand-in, at once or later. */
@FunctionalInterface
public interface HttpHandler {
    /**
     * Handles a request on the event loop of its connection; must not block.
     *
     * @param call the request, which is answered through it
     */
    void handle(HttpCall call);
}
