package org.azurearch.standin.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * An answer of a stand-in.
 *
 * @param status the HTTP status
 * @param headers the headers besides the length
 * @param body the content; must not be changed
 */
public record HttpReply(int status, Map<String, String> headers, byte[] body) {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int OK = 200;

    /** Takes a copy of the headers. */
    public HttpReply {
        headers = Map.copyOf(headers);
    }

    /** Returns an answer of status 200 with a JSON body. */
    public static HttpReply ok(Object value) {
        return json(OK, value);
    }

    /**
     * Returns an answer with a JSON body.
     *
     * @param value a record, mapping or tree that Jackson can write
     */
    public static HttpReply json(int status, Object value) {
        try {
            return new HttpReply(
                    status,
                    Map.of("content-type", "application/json"),
                    JSON.writeValueAsBytes(value));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("the value has no JSON form", e);
        }
    }

    /** Returns an answer that says what went wrong. */
    public static HttpReply problem(int status, String detail) {
        return json(status, new ProblemBody(status, detail));
    }

    /** Returns the answer with one more header. */
    public HttpReply withHeader(String name, String value) {
        Map<String, String> more = new LinkedHashMap<>(headers);
        more.put(name, value);
        return new HttpReply(status, more, body);
    }

    private record ProblemBody(int status, String detail) {}
}
