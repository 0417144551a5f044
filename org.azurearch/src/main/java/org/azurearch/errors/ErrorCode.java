package org.azurearch.errors;

/**
 * Stable error codes. A code never changes its meaning. Its HTTP status is used in the answers of
 * the administration API and the data path.
 */
public enum ErrorCode {
    /** An identifier, version, digest or address is malformed. */
    BAD_NAME(400),
    /** Settings or a document are not well-formed YAML. */
    YAML_SYNTAX(422),
    /** A mapping has a duplicate key. */
    YAML_DUPLICATE_KEY(422),
    /** An alias refers to itself or expands beyond the limit. */
    YAML_ALIAS(422),
    /** Input is not valid UTF-8. */
    NOT_UTF8(422),
    /** Input is larger than the limit. */
    TOO_LARGE(413),
    /** A key is not defined in the schema. */
    UNKNOWN_KEY(422),
    /** A value has the wrong type. */
    WRONG_TYPE(422),
    /** A required key is missing. */
    MISSING_KEY(422),
    /** A value is outside its range. */
    OUT_OF_RANGE(422),
    /** A reference names an entry that does not exist in the same version. */
    DANGLING_REFERENCE(422),
    /** Two routes match the same calls. */
    AMBIGUOUS_ROUTE(422),
    /** An overlay does not fit its base, firm or site, or removes an absent entry. */
    BAD_OVERLAY(422),
    /** A change was refused because its content is invalid. */
    INVALID(422),
    /** A change was refused because the expected version is not the current one. */
    CONFLICT(409),
    /** A change record uses a rule set that this release does not support. */
    UNKNOWN_RULE_SET(422),
    /** Stored or received bytes do not match their digest or format. */
    CORRUPT(500),
    /** The access token is missing or unknown. */
    UNAUTHENTICATED(401),
    /** The token does not allow the action. */
    FORBIDDEN(403),
    /** The requested resource does not exist. */
    NOT_FOUND(404),
    /** The method is not allowed for this resource. */
    METHOD_NOT_ALLOWED(405),
    /** The resource has none of the media types that the client accepts. */
    NOT_ACCEPTABLE(406),
    /** The resource does not accept the media type of the body. */
    UNSUPPORTED_MEDIA_TYPE(415),
    /** The platform's log is unreachable or does not answer in time. */
    LOG_UNAVAILABLE(503),
    /** The result of an append is unknown: it may have taken effect. */
    LOG_RESULT_UNKNOWN(503),
    /** The requested offset has been removed by retention. */
    OFFSET_REMOVED(410),
    /** A peer is unreachable or does not answer in time. */
    PEER_UNAVAILABLE(503),
    /** A peer failed to authenticate with the shared key. */
    PEER_UNAUTHENTICATED(401),
    /** The node is busy; retry after the given delay. */
    BUSY(503),
    /** The node has no accepted configuration yet, or is stopping. */
    NOT_READY(503),
    /** No route matches the call. */
    NO_ROUTE(404),
    /** No backend server of the service can accept the call. */
    NO_BACKEND_SERVER(503),
    /** The call was shed because of overload. */
    OVERLOADED(503),
    /** The firm exceeded its rate limit. */
    RATE_LIMITED(429),
    /** The deadline of the call has passed. */
    DEADLINE_EXCEEDED(504),
    /** The caller cancelled the call. */
    CANCELLED(499),
    /** The call chain is deeper than the limit. */
    TOO_DEEP(508),
    /** The call returned to a node that it has already passed. */
    LOOP(508),
    /** The request is not a valid or unambiguous HTTP message. */
    BAD_REQUEST(400),
    /** The backend server failed while it processed the request. */
    BACKEND_SERVER_FAILED(502),
    /** Requests like this one crashed several backend servers and are contained. */
    SUSPECT_REQUEST(503),
    /** A non-idempotent request was repeated while the outcome of the first is unknown. */
    OUTCOME_UNKNOWN(409),
    /** A ticket or idempotency key is malformed, expired or belongs to another request. */
    BAD_TICKET(422),
    /** The command line is wrong. */
    USAGE(400),
    /** Internal error. */
    INTERNAL(500);

    private final int mHttpStatus;

    ErrorCode(int httpStatus) {
        mHttpStatus = httpStatus;
    }

    /** Returns the HTTP status of the code. */
    public int httpStatus() {
        return mHttpStatus;
    }

    /** Returns the stable text form, such as {@code unknown-key}. */
    public String code() {
        return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }
}
