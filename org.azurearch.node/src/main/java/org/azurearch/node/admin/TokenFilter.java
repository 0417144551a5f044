package org.azurearch.node.admin;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.annotation.RequestFilter;
import io.micronaut.http.annotation.ServerFilter;
import java.util.Optional;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;

/**
 * Authenticates the token of each request. A request without a token passes, since some resources
 * need none; see {@link #tokenOf}.
 */
@ServerFilter(ServerFilter.MATCH_ALL_PATTERN)
public final class TokenFilter {
    private static final String ATTRIBUTE = "azurearch.token";
    private static final String SCHEME = "Bearer ";

    private final TokenStore mTokens;

    /** Creates a filter. */
    public TokenFilter(TokenStore tokens) {
        mTokens = tokens;
    }

    /** Stores the token in the request's attributes. */
    @RequestFilter
    public void authenticate(HttpRequest<?> request) {
        Optional<String> header = request.getHeaders().getAuthorization();
        if (header.isEmpty()) {
            return;
        }
        String value = header.get();
        if (!value.startsWith(SCHEME)) {
            throw new AzurearchException(
                    ErrorCode.UNAUTHENTICATED, "expected a bearer token in 'authorization'");
        }
        AccessToken token =
                mTokens.find(value.substring(SCHEME.length()).trim())
                        .orElseThrow(
                                () ->
                                        new AzurearchException(
                                                ErrorCode.UNAUTHENTICATED, "unknown token"));
        request.setAttribute(ATTRIBUTE, token);
    }

    /**
     * Returns the token of a request.
     *
     * @throws AzurearchException with {@code UNAUTHENTICATED} when it carries none
     */
    static AccessToken tokenOf(HttpRequest<?> request) {
        return request.getAttribute(ATTRIBUTE, AccessToken.class)
                .orElseThrow(
                        () ->
                                new AzurearchException(
                                        ErrorCode.UNAUTHENTICATED, "a token is required"));
    }
}
