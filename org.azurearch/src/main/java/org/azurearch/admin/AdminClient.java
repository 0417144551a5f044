package org.azurearch.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import javax.net.ssl.SSLContext;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.lib.NetAddress;
import org.jspecify.annotations.Nullable;

/**
 * Client of the administration API. A request is sent to the nodes in the given order until one
 * answers. A request may therefore reach several nodes; change ids keep a change from being applied
 * twice.
 */
public final class AdminClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(15);
    private static final int FIRST_ERROR_STATUS = 400;

    private final ObjectMapper mJson =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    private final List<NetAddress> mNodes;
    private final String mToken;
    private final String mScheme;
    private final HttpClient mHttp;

    /**
     * Creates a client.
     *
     * @param nodes the nodes' administration addresses, at least one
     * @param token the bearer token; empty for none
     * @param tls the TLS context for nodes that serve TLS, or null for plain HTTP
     */
    public AdminClient(List<NetAddress> nodes, String token, @Nullable SSLContext tls) {
        mNodes = List.copyOf(nodes);
        mToken = token;
        mScheme = tls == null ? "http" : "https";
        HttpClient.Builder builder =
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .connectTimeout(CONNECT_TIMEOUT);
        if (tls != null) {
            builder.sslContext(tls);
        }
        mHttp = builder.build();
    }

    /**
     * Reads a resource.
     *
     * @param path the path and query, from {@code /v1}
     * @param type the type of the answer
     * @throws AzurearchException with the error code of the node's answer, or {@code
     *     PEER_UNAVAILABLE} when no node answered
     */
    public <T> T get(String path, Class<T> type) {
        return send("GET", path, HttpRequest.BodyPublishers.noBody(), type);
    }

    /** Sends a body with {@code POST}; see {@link #get}. */
    public <T> T post(String path, Object body, Class<T> type) {
        return send("POST", path, jsonBody(body), type);
    }

    /** Sends a body with {@code PUT}; see {@link #get}. */
    public <T> T put(String path, Object body, Class<T> type) {
        return send("PUT", path, jsonBody(body), type);
    }

    /** Deletes a resource; see {@link #get}. */
    public <T> T delete(String path, Class<T> type) {
        return send("DELETE", path, HttpRequest.BodyPublishers.noBody(), type);
    }

    /** Returns a value URL-encoded for use in a path or query. */
    public static String encode(String value) {
        return URLEncoder.encode(value, StandardCharsets.UTF_8);
    }

    private <T> T send(String method, String path, HttpRequest.BodyPublisher body, Class<T> type) {
        @Nullable IOException lastFailure = null;
        for (NetAddress node : mNodes) {
            try {
                return parse(mHttp.send(request(node, method, path, body), bodyText()), type);
            } catch (IOException e) {
                lastFailure = e;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new AzurearchException(ErrorCode.CANCELLED, "interrupted", e);
            }
        }
        throw new AzurearchException(
                ErrorCode.PEER_UNAVAILABLE,
                "no node answered: " + mNodes + ": " + lastFailure,
                lastFailure);
    }

    private HttpRequest request(
            NetAddress node, String method, String path, HttpRequest.BodyPublisher body) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create(mScheme + "://" + node.name() + path))
                        .timeout(REQUEST_TIMEOUT)
                        .header("content-type", "application/json")
                        .header(
                                "accept",
                                "application/json, " + ProblemDetails.MEDIA_TYPE + ", */*;q=0.5")
                        .method(method, body);
        if (!mToken.isEmpty()) {
            request.header("authorization", "Bearer " + mToken);
        }
        return request.build();
    }

    private <T> T parse(HttpResponse<String> response, Class<T> type) {
        try {
            if (response.statusCode() >= FIRST_ERROR_STATUS && isProblem(response)) {
                throw mJson.readValue(response.body(), ProblemDetails.class).exception();
            }
            if (type == String.class) {
                return type.cast(response.body());
            }
            return mJson.readValue(response.body(), type);
        } catch (JsonProcessingException e) {
            throw new AzurearchException(
                    ErrorCode.CORRUPT,
                    "the answer with status " + response.statusCode() + " is not the expected JSON",
                    e);
        }
    }

    private static boolean isProblem(HttpResponse<String> response) {
        return response.headers()
                .firstValue("content-type")
                .filter(type -> type.startsWith(ProblemDetails.MEDIA_TYPE))
                .isPresent();
    }

    private HttpRequest.BodyPublisher jsonBody(Object body) {
        try {
            return HttpRequest.BodyPublishers.ofString(mJson.writeValueAsString(body));
        } catch (JsonProcessingException e) {
            throw new AzurearchException(ErrorCode.INTERNAL, "cannot write JSON", e);
        }
    }

    private static HttpResponse.BodyHandler<String> bodyText() {
        return HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8);
    }
}
