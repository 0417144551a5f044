package org.azurearch.sidecar.internal.backend;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.azurearch.sidecar.Dialect;
import org.jspecify.annotations.Nullable;

/** A single health check that finds the instance id of the backend server at an address. */
final class BackendProbe implements BackendConnection.ResponseListener {
    /** The health check waits for a slot like any request; a heartbeat is due after about 1 s. */
    private static final long TIMEOUT_MILLIS = 1_000;

    private final Dialect mDialect;

    /** Receives the outcome of a health check. */
    interface Callback {
        /**
         * Called once.
         *
         * @param answered whether there was an answer, of whichever status
         * @param instance the instance id if the backend server is healthy, or null
         */
        void ended(boolean answered, @Nullable String instance);
    }

    private final Callback mCallback;
    private final ScheduledFuture<?> mTimeout;
    private @Nullable BackendConnection mConnection;
    private boolean mDone;

    private BackendProbe(EventLoop loop, Dialect dialect, Callback callback) {
        mDialect = dialect;
        mCallback = callback;
        mTimeout = loop.schedule(this::timedOut, TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Sends a health check.
     *
     * @param loop the event loop of the timeout
     * @param dialect the header names
     * @param pool opens connections to the backend server
     * @param path the health check path
     * @param callback receives the outcome
     */
    static void send(
            EventLoop loop,
            Dialect dialect,
            BackendConnectionPool pool,
            String path,
            Callback callback) {
        BackendProbe probe = new BackendProbe(loop, dialect, callback);
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, HttpMethod.GET, path, Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, pool.address().name());
        pool.acquire(
                idle -> true,
                false,
                System.nanoTime(),
                connection -> probe.connected(connection, request));
    }

    @Override
    public void answered(FullHttpResponse answer) {
        boolean healthy = answer.status().code() == HttpResponseStatus.OK.code();
        end(true, healthy ? answer.headers().get(mDialect.instance()) : null);
    }

    @Override
    public void failed(String reason) {
        end(false, null);
    }

    private void connected(@Nullable BackendConnection connection, FullHttpRequest request) {
        if (connection == null) {
            end(false, null);
        } else if (mDone) {
            connection.close();
        } else {
            mConnection = connection;
            connection.send(request, this);
        }
    }

    private void timedOut() {
        if (mConnection != null) {
            mConnection.abandon();
        }
        end(false, null);
    }

    private void end(boolean answered, @Nullable String instance) {
        if (!mDone) {
            mDone = true;
            mTimeout.cancel(false);
            mCallback.ended(answered, instance);
        }
    }
}
