package org.azurearch.internal.log;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.Completions;
import org.azurearch.errors.ErrorCode;
import org.azurearch.internal.call.PooledHttpClient;
import org.azurearch.lib.StreamId;
import org.azurearch.log.LogBatch;
import org.azurearch.log.LogClient;
import org.jspecify.annotations.Nullable;

/** Log client over HTTP/1.1 and JSON. */
public final class HttpLogClient implements LogClient {
    private static final int WORKER_THREADS = 2;
    private static final int MAX_REPLY_BYTES = 64 * 1024 * 1024;
    private static final long CLOSE_TIMEOUT_MILLIS = 1_000;
    private static final byte[] NO_BODY = {};

    private final LogSettings mSettings;
    private final ExecutorService mWorkers;
    private final EventLoopGroup mLoops;
    private final EventLoop mLoop;
    private final PooledHttpClient mHttp;
    private volatile boolean mClosed;

    /** Creates a client; it connects on the first call. */
    public HttpLogClient(LogSettings settings) {
        mSettings = settings;
        mWorkers =
                Executors.newFixedThreadPool(
                        WORKER_THREADS, new DefaultThreadFactory("azurearch-log-client", true));
        mLoops =
                new MultiThreadIoEventLoopGroup(
                        1,
                        new DefaultThreadFactory("azurearch-log-connections", true),
                        NioIoHandler.newFactory());
        mLoop = mLoops.next();
        mHttp = new PooledHttpClient(mLoop, settings.address(), MAX_REPLY_BYTES);
    }

    @Override
    public CompletableFuture<Long> append(StreamId stream, byte[] data) {
        return exchange(
                HttpMethod.POST,
                recordsTarget(stream, ""),
                data,
                mSettings.timeout(),
                ErrorCode.LOG_RESULT_UNKNOWN,
                LogReplies::offset);
    }

    @Override
    public CompletableFuture<LogBatch> read(
            StreamId stream, long offset, int maxBytes, Duration wait) {
        String query =
                "?offset=" + offset + "&maxBytes=" + maxBytes + "&waitMillis=" + wait.toMillis();
        return exchange(
                HttpMethod.GET,
                recordsTarget(stream, query),
                NO_BODY,
                mSettings.timeout().plus(wait),
                ErrorCode.LOG_UNAVAILABLE,
                reply -> LogReplies.batch(reply, offset));
    }

    @Override
    public void close() {
        mClosed = true;
        mWorkers.shutdownNow();
        mLoops.shutdownGracefully(0, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private <T> CompletableFuture<T> exchange(
            HttpMethod method,
            String target,
            byte[] body,
            Duration timeout,
            ErrorCode lostReplyCode,
            Function<PooledHttpClient.Reply, T> reader) {
        if (mClosed) {
            return CompletableFuture.failedFuture(
                    new AzurearchException(ErrorCode.LOG_UNAVAILABLE, "the client is closed"));
        }
        return CompletableFuture.supplyAsync(
                        () -> mHttp.send(method, target, body, timeout.toMillis()), mLoop)
                .thenCompose(Function.identity())
                .handleAsync(
                        (reply, failure) -> {
                            if (reply == null) {
                                throw toException(failure, lostReplyCode);
                            }
                            return reader.apply(reply);
                        },
                        mWorkers);
    }

    private static String recordsTarget(StreamId stream, String query) {
        return "/v1/streams/" + stream.name() + "/records" + query;
    }

    private static AzurearchException toException(
            @Nullable Throwable failure, ErrorCode lostReplyCode) {
        Throwable cause = failure == null ? null : Completions.unwrap(failure);
        boolean neverSent =
                cause instanceof AzurearchException error
                        && error.code() == ErrorCode.LOG_UNAVAILABLE;
        return neverSent
                ? new AzurearchException(
                        ErrorCode.LOG_UNAVAILABLE, "cannot connect to the log: " + cause, cause)
                : new AzurearchException(lostReplyCode, "no answer from the log: " + cause, cause);
    }
}
