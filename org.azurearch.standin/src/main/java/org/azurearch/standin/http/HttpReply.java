package org.azurearch.standin.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A reply of a stand-in.
 *
 * @param status the HTTP status
 * @param headers the headers, without the content length
 * @param body the content; must not be modified
 */
public record HttpReply(int status, Map<String, String> headers, byte[] body) {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int OK = 200;

    /** Copies the headers. */
    public HttpReply {
        headers = Map.copyOf(headers);
    }

    /** Returns a reply with status 200 and a JSON body. */
    public static HttpReply ok(Object value) {
        return json(OK, value);
    }

    /**
     * Returns a reply with a JSON body.
     *
     * @param value a record, map or tree that Jackson can serialise
     */
    public static HttpReply json(int status, Object value) {
        try {
            return new HttpReply(
                    status,
                    Map.of("content-type", "application/json"),
                    JSON.writeValueAsBytes(value));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialise the value as JSON", e);
        }
    }

    /** Returns an error reply with a description of the problem. */
    public static HttpReply problem(int status, String detail) {
        return json(status, new ProblemBody(status, detail));
    }

    /** Returns a copy with one more header. */
    public HttpReply withHeader(String name, String value) {
        Map<String, String> more = new LinkedHashMap<>(headers);
        more.put(name, value);
        return new HttpReply(status, more, body);
    }

    private record ProblemBody(int status, String detail) {}
}
