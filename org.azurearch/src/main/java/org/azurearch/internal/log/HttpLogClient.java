package org.azurearch.internal.log;

import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.Completions;
import org.azurearch.errors.ErrorCode;
import org.azurearch.lib.StreamId;
import org.azurearch.log.LogBatch;
import org.azurearch.log.LogClient;
import org.jspecify.annotations.Nullable;

/** Log client over HTTP/1.1 and JSON. */
public final class HttpLogClient implements LogClient {
    private static final int WORKER_THREADS = 2;

    private final LogSettings mSettings;
    private final ExecutorService mWorkers;
    private final HttpClient mHttp;
    private volatile boolean mClosed;

    /** Creates a client; it connects on the first call. */
    public HttpLogClient(LogSettings settings) {
        mSettings = settings;
        mWorkers =
                Executors.newFixedThreadPool(
                        WORKER_THREADS,
                        task -> {
                            Thread thread = new Thread(task, "azurearch-log-client");
                            thread.setDaemon(true);
                            return thread;
                        });
        mHttp =
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .connectTimeout(settings.timeout())
                        .executor(mWorkers)
                        .build();
    }

    @Override
    public CompletableFuture<Long> append(StreamId stream, byte[] data) {
        HttpRequest request =
                HttpRequest.newBuilder(recordsUri(stream, ""))
                        .timeout(mSettings.timeout())
                        .header("Content-Type", "application/octet-stream")
                        .POST(HttpRequest.BodyPublishers.ofByteArray(data))
                        .build();
        return exchange(request, ErrorCode.LOG_RESULT_UNKNOWN, LogReplies::offset);
    }

    @Override
    public CompletableFuture<LogBatch> read(
            StreamId stream, long offset, int maxBytes, Duration wait) {
        String query =
                "?offset=" + offset + "&maxBytes=" + maxBytes + "&waitMillis=" + wait.toMillis();
        HttpRequest request =
                HttpRequest.newBuilder(recordsUri(stream, query))
                        .timeout(mSettings.timeout().plus(wait))
                        .GET()
                        .build();
        return exchange(
                request, ErrorCode.LOG_UNAVAILABLE, response -> LogReplies.batch(response, offset));
    }

    @Override
    public void close() {
        mClosed = true;
        mWorkers.shutdownNow();
    }

    private <T> CompletableFuture<T> exchange(
            HttpRequest request, ErrorCode lostReplyCode, ReplyReader<T> reader) {
        if (mClosed) {
            return CompletableFuture.failedFuture(unavailable("the client is closed", null));
        }
        return mHttp.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
                .handle(
                        (response, failure) -> {
                            if (response == null) {
                                throw toException(failure, lostReplyCode);
                            }
                            return reader.read(response);
                        });
    }

    private URI recordsUri(StreamId stream, String query) {
        return URI.create(
                "http://"
                        + mSettings.address().name()
                        + "/v1/streams/"
                        + stream.name()
                        + "/records"
                        + query);
    }

    private static AzurearchException toException(Throwable failure, ErrorCode lostReplyCode) {
        Throwable cause = Completions.unwrap(failure);
        boolean neverSent =
                cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException;
        return neverSent
                ? unavailable("cannot connect to the log: " + cause, cause)
                : new AzurearchException(lostReplyCode, "no answer from the log: " + cause, cause);
    }

    private static AzurearchException unavailable(String message, @Nullable Throwable cause) {
        return new AzurearchException(ErrorCode.LOG_UNAVAILABLE, message, cause);
    }

    /** Parses the reply to a request. */
    @FunctionalInterface
    private interface ReplyReader<T> {
        T read(HttpResponse<byte[]> response);
    }
}
