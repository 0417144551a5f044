package org.azurearch.call;

/** Names of the HTTP headers between the system and callers or backend servers, in lower case. */
public final class CallHeaders {
    /** Prefix of all headers of the system; those that a caller may not send are removed. */
    public static final String PREFIX = "azurearch-";

    /** In answers: whether the request ran; see {@link org.azurearch.lib.Verdict}. */
    public static final String VERDICT = "azurearch-verdict";

    /** In answers of the system's own: the stable error code. */
    public static final String CODE = "azurearch-code";

    /** In requests: the time that the caller gives the call, in milliseconds. */
    public static final String DEADLINE_MILLIS = "azurearch-deadline-millis";

    /** In requests: the ticket that the call uses; in answers: a ticket for a later call. */
    public static final String TICKET = "azurearch-ticket";

    /** In requests: a key by which the caller marks one request that it may send again. */
    public static final String IDEMPOTENCY_KEY = "idempotency-key";

    /** In requests: the firm whose route is meant, where several firms have equal ones. */
    public static final String FIRM = "azurearch-firm";

    /**
     * In requests to backend servers: the signed context of the call, which a backend server sends
     * along with the calls that it makes on its behalf.
     */
    public static final String CONTEXT = "azurearch-context";

    /**
     * In requests to backend servers: a number that is new for each request. A backend server that
     * repeats it in its answer lets the node notice an answer that belongs to another request.
     */
    public static final String CALL_ID = "azurearch-call-id";

    /** In answers that refuse a call: when to try again, in milliseconds. */
    public static final String RETRY_AFTER_MILLIS = "azurearch-retry-after-millis";

    private CallHeaders() {}
}
