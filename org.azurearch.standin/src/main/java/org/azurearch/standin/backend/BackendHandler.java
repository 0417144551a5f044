package org.azurearch.standin.backend;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.azurearch.call.CallHeaders;
import org.azurearch.member.BackendState;
import org.azurearch.standin.http.HttpCall;
import org.azurearch.standin.http.HttpHandler;
import org.azurearch.standin.http.HttpReply;
import org.azurearch.time.TimeSource;

/**
 * Runs requests in slots. Requests arrive on one event loop; the counters may be read by any
 * thread.
 */
final class BackendHandler implements HttpHandler {
    private static final String ORDER_KEY = "x-order-key";
    private static final String VERDICT = "azurearch-verdict";
    private static final String NOT_RUN = "not-run";
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final long MIN_SCHEDULED_NANOS = 50_000L;

    private final BackendOptions mOptions;
    private final RunCounter mRunCounter;
    private final TimeSource mTime;
    private final Runnable mCrashAction;
    private final RandomGenerator mRandom;
    private final long mStartNanos;
    private final LaggedLoad mLaggedLoad;
    private final AtomicInteger mInUse = new AtomicInteger();
    private final LongAdder mRuns = new LongAdder();
    private final LongAdder mFinished = new LongAdder();
    private final LongAdder mShed = new LongAdder();
    private final LongAdder mCancelled = new LongAdder();
    private volatile BackendState mState = BackendState.STARTING;

    BackendHandler(BackendOptions options, RunCounter runCounter, TimeSource time, Runnable crash) {
        mOptions = options;
        mRunCounter = runCounter;
        mTime = time;
        mCrashAction = crash;
        mRandom = RandomGeneratorFactory.of("L64X128MixRandom").create(options.seed());
        mStartNanos = time.nanos();
        mLaggedLoad = new LaggedLoad(options.reports().lag());
    }

    private record LoadReport(int slots, int inUse, String state) {}

    private record RunsReport(long runs, long doubleRuns) {}

    private record KeyReport(int runs) {}

    @Override
    public void handle(HttpCall call) {
        switch (call.path()) {
            case "/health" -> replyAfter(call, health(), mOptions.reports().probeCost().toNanos());
            case "/load" -> call.reply(load());
            case "/runs" -> call.reply(runs(call.parameter("key")));
            case "/statistics" -> call.reply(HttpReply.ok(statistics(0)));
            case "/crash" -> mCrashAction.run();
            default -> admit(call);
        }
    }

    BackendState state() {
        return mState;
    }

    void setState(BackendState state) {
        mState = state;
    }

    int inUse() {
        return mInUse.get();
    }

    BackendStatistics statistics(int connections) {
        return new BackendStatistics(
                mRuns.sum(),
                mFinished.sum(),
                mShed.sum(),
                mCancelled.sum(),
                mRunCounter.doubleRuns(),
                mInUse.get(),
                connections);
    }

    private void admit(HttpCall call) {
        if (mState != BackendState.READY || mInUse.get() >= mOptions.slots()) {
            mShed.increment();
            call.reply(
                    HttpReply.problem(UNAVAILABLE, "shed")
                            .withHeader("retry-after", "1")
                            .withHeader(VERDICT, NOT_RUN));
            return;
        }
        mInUse.incrementAndGet();
        run(call);
    }

    private void run(HttpCall call) {
        int timesRun =
                mRunCounter.count(
                        call.header(ORDER_KEY)
                                .or(() -> call.header(CallHeaders.IDEMPOTENCY_KEY))
                                .orElse(""),
                        call.header("run-key").orElse(""));
        mRuns.increment();
        if (call.header("x-crash").isPresent()) {
            mCrashAction.run();
            return;
        }
        boolean[] cancelled = new boolean[1];
        call.onDisconnect(
                () -> {
                    cancelled[0] = true;
                    mCancelled.increment();
                    mInUse.decrementAndGet();
                });
        long nanos = serviceNanos(call);
        Runnable finish =
                () -> {
                    if (!cancelled[0]) {
                        finish(call, timesRun);
                    }
                };
        if (nanos < MIN_SCHEDULED_NANOS) {
            finish.run();
        } else {
            call.eventLoop().schedule(finish, nanos, TimeUnit.NANOSECONDS);
        }
    }

    private long serviceNanos(HttpCall call) {
        double slowdown = mOptions.coldStart().serviceTimeFactor(mTime.nanos() - mStartNanos);
        long serviceTimeNanos = (long) (mOptions.serviceTime().sampleNanos(mRandom) * slowdown);
        long connectionNanos = call.firstOnConnection() ? mOptions.connectionCost().toNanos() : 0;
        return serviceTimeNanos + connectionNanos;
    }

    private void finish(HttpCall call, int timesRun) {
        mInUse.decrementAndGet();
        mFinished.increment();
        String nonce = call.header(EchoAnswer.NONCE_HEADER).orElse("");
        int bytes = call.header(EchoAnswer.ANSWER_BYTES_HEADER).map(Integer::parseInt).orElse(0);
        byte[] body = EchoAnswer.of(nonce, call.body(), bytes);
        Map<String, String> headers =
                Map.of(
                        "content-type",
                        "text/plain",
                        EchoAnswer.NONCE_HEADER,
                        nonce,
                        "x-times-run",
                        Integer.toString(timesRun));
        HttpReply reply = new HttpReply(OK, headers, body);
        call.reply(
                call.header(CallHeaders.CALL_ID)
                        .map(id -> reply.withHeader(CallHeaders.CALL_ID, id))
                        .orElse(reply));
    }

    private HttpReply health() {
        boolean healthy = mOptions.reports().misleading() || mState == BackendState.READY;
        return HttpReply.json(healthy ? OK : UNAVAILABLE, Map.of("state", mState.name()));
    }

    private HttpReply load() {
        boolean misleading = mOptions.reports().misleading();
        int reported = misleading ? 0 : mLaggedLoad.read(mInUse.get(), mTime.nanos());
        return HttpReply.ok(new LoadReport(mOptions.slots(), reported, mState.name()));
    }

    private HttpReply runs(Optional<String> key) {
        if (key.isPresent()) {
            return HttpReply.ok(new KeyReport(mRunCounter.runsOfOrder(key.get())));
        }
        return HttpReply.ok(new RunsReport(mRunCounter.runs(), mRunCounter.doubleRuns()));
    }

    private static void replyAfter(HttpCall call, HttpReply reply, long nanos) {
        if (nanos > 0) {
            call.eventLoop().schedule(() -> call.reply(reply), nanos, TimeUnit.NANOSECONDS);
        } else {
            call.reply(reply);
        }
    }
}
