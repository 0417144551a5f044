package org.azurearch.internal.member;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.azurearch.lib.NetAddress;
import org.jspecify.annotations.Nullable;

/** Probes the health endpoint of the backend server over HTTP. */
final class HealthProbe {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final int MIN_SUCCESS_STATUS = 200;
    private static final int MAX_SUCCESS_STATUS = 299;

    private @Nullable HttpClient mClient;

    /**
     * Sends a GET request.
     *
     * @return whether a 2xx status arrived in time; never completes exceptionally
     */
    CompletableFuture<Boolean> probe(NetAddress address, String path) {
        URI uri = URI.create("http://" + address.name() + path);
        HttpRequest request = HttpRequest.newBuilder(uri).timeout(TIMEOUT).GET().build();
        return lazyClient()
                .sendAsync(request, HttpResponse.BodyHandlers.discarding())
                .handle(
                        (response, failure) ->
                                response != null && isHealthy(response.statusCode()));
    }

    private static boolean isHealthy(int status) {
        return status >= MIN_SUCCESS_STATUS && status <= MAX_SUCCESS_STATUS;
    }

    private synchronized HttpClient lazyClient() {
        if (mClient == null) {
            mClient =
                    HttpClient.newBuilder()
                            .version(HttpClient.Version.HTTP_1_1)
                            .connectTimeout(TIMEOUT)
                            .build();
        }
        return mClient;
    }
}
