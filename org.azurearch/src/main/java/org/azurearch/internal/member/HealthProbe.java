package org.azurearch.internal.member;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;
import java.util.concurrent.TimeUnit;
import org.azurearch.lib.NetAddress;
import org.jspecify.annotations.Nullable;

/** Probes the health endpoint of the backend server over HTTP. */
final class HealthProbe {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final int MAX_BODY_BYTES = 64 * 1024;
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
                .sendAsync(request, head -> new BodyDiscarder())
                .handle(
                        (response, failure) ->
                                response != null && isHealthy(response.statusCode()));
    }

    /**
     * Reads a short body, so that the connection can be used again, and closes the connection of a
     * longer one or of one that does not end in time. The status counts without the body.
     */
    private static final class BodyDiscarder implements HttpResponse.BodySubscriber<Void> {
        private volatile Flow.@Nullable Subscription mSubscription;
        private int mBytes;

        @Override
        public CompletionStage<Void> getBody() {
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public void onSubscribe(Flow.Subscription subscription) {
            mSubscription = subscription;
            subscription.request(Long.MAX_VALUE);
            CompletableFuture.delayedExecutor(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                    .execute(this::cancel);
        }

        @Override
        public void onNext(List<ByteBuffer> pieces) {
            for (ByteBuffer piece : pieces) {
                mBytes += piece.remaining();
            }
            if (mBytes > MAX_BODY_BYTES) {
                cancel();
            }
        }

        @Override
        public void onError(Throwable failure) {
            mSubscription = null;
        }

        @Override
        public void onComplete() {
            mSubscription = null;
        }

        private void cancel() {
            Flow.Subscription subscription = mSubscription;
            if (subscription != null) {
                subscription.cancel();
            }
        }
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
