package org.azurearch.pgm.demo;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import org.azurearch.lib.NetAddress;
import org.azurearch.standin.backend.EchoAnswer;

/** Load on the mesh: a few threads, each sending one call after the other until closed. */
final class CallLoad implements AutoCloseable {
    private static final int THREADS = 4;
    private static final Duration CALL_PAUSE = Duration.ofMillis(10);
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final Duration JOIN_TIMEOUT = Duration.ofSeconds(15);
    private static final int FIRST_ERROR_STATUS = 400;

    private final HttpClient mHttp =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(2))
                    .build();
    private final List<CallSample> mSamples;
    private final Map<String, LongAdder> mAnswered = new ConcurrentHashMap<>();
    private final Map<String, LongAdder> mFailed = new ConcurrentHashMap<>();
    private final LongAdder mMixedAnswers = new LongAdder();
    private final AtomicInteger mNextCall = new AtomicInteger();
    private final List<Thread> mThreads;
    private volatile List<NetAddress> mNodes;
    private volatile boolean mClosed;

    /**
     * Starts the threads.
     *
     * @param samples the calls to send, in turn
     * @param nodes the nodes to send to, the next one after each round of the samples
     */
    CallLoad(List<CallSample> samples, List<NetAddress> nodes) {
        mSamples = List.copyOf(samples);
        mNodes = List.copyOf(nodes);
        mThreads =
                java.util.stream.IntStream.range(0, THREADS)
                        .mapToObj(i -> new Thread(this::callUntilClosed, "demo-caller-" + i))
                        .toList();
        mThreads.forEach(thread -> thread.setDaemon(true));
        mThreads.forEach(Thread::start);
    }

    /** Replaces the nodes that later calls are sent to. */
    void setNodes(List<NetAddress> nodes) {
        mNodes = List.copyOf(nodes);
    }

    /** Returns the number of successful calls so far. */
    long answeredCount() {
        return mAnswered.values().stream().mapToLong(LongAdder::sum).sum();
    }

    /** Returns the number of failed calls so far. */
    long failedCount() {
        return mFailed.values().stream().mapToLong(LongAdder::sum).sum();
    }

    /** Returns the number of successful answers whose body does not match their call. */
    long mixedAnswerCount() {
        return mMixedAnswers.sum();
    }

    /** Returns the number of successful calls so far by class. */
    Map<String, Long> answeredCountByClass() {
        return sums(mAnswered);
    }

    /** Returns the number of failed calls so far by class and cause. */
    Map<String, Long> failureCountByKind() {
        return sums(mFailed);
    }

    @Override
    public void close() {
        mClosed = true;
        for (Thread thread : mThreads) {
            try {
                thread.join(JOIN_TIMEOUT.toMillis());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void callUntilClosed() {
        while (!mClosed) {
            int callNumber = mNextCall.getAndIncrement();
            List<NetAddress> nodes = mNodes;
            int round = callNumber / mSamples.size();
            sendCall(mSamples.get(callNumber % mSamples.size()), nodes.get(round % nodes.size()));
            LockSupport.parkNanos(CALL_PAUSE.toNanos());
        }
    }

    private void sendCall(CallSample sample, NetAddress node) {
        String nonce = UUID.randomUUID().toString();
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + node + sample.path()))
                        .timeout(TIMEOUT)
                        .header(EchoAnswer.NONCE_HEADER, nonce);
        if (!sample.idempotent()) {
            byte[] body = bodyOf(sample, nonce);
            request.header("idempotency-key", nonce)
                    .POST(HttpRequest.BodyPublishers.ofByteArray(body));
        }
        try {
            HttpResponse<byte[]> response =
                    mHttp.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
            countResponse(sample, nonce, response);
        } catch (IOException e) {
            increment(mFailed, sample.callClass() + " " + e.getClass().getSimpleName());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void countResponse(CallSample sample, String nonce, HttpResponse<byte[]> response) {
        if (response.statusCode() >= FIRST_ERROR_STATUS) {
            String code = response.headers().firstValue("azurearch-code").orElse("no code");
            String verdict = response.headers().firstValue("azurearch-verdict").orElse("none");
            increment(
                    mFailed,
                    sample.callClass() + " " + response.statusCode() + " " + code + " " + verdict);
            return;
        }
        if (!Arrays.equals(response.body(), EchoAnswer.of(nonce, bodyOf(sample, nonce), 0))) {
            mMixedAnswers.increment();
        }
        increment(mAnswered, sample.callClass());
    }

    private static byte[] bodyOf(CallSample sample, String nonce) {
        return sample.idempotent()
                ? new byte[0]
                : ("demo " + nonce).getBytes(StandardCharsets.US_ASCII);
    }

    private static void increment(Map<String, LongAdder> counts, String key) {
        counts.computeIfAbsent(key, k -> new LongAdder()).increment();
    }

    private static Map<String, Long> sums(Map<String, LongAdder> counts) {
        Map<String, Long> sums = new TreeMap<>();
        counts.forEach((key, value) -> sums.put(key, value.sum()));
        return sums;
    }
}
