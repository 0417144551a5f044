package org.azurearch.standin.log;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.azurearch.events.EventLog;
import org.azurearch.log.LogRecord;
import org.azurearch.standin.StandinEvent;
import org.azurearch.standin.http.HttpCall;
import org.azurearch.standin.http.HttpHandler;
import org.azurearch.standin.http.HttpReply;
import org.azurearch.time.TimeSource;

/** Serves the log's HTTP API. Thread-safe; all state is guarded by the handler's monitor. */
final class LogHandler implements HttpHandler {
    private static final Pattern RECORDS_PATH = Pattern.compile("/v1/streams/([^/]+)/records");
    private static final Pattern STREAM_NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,95}");
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long MAX_READ_BYTES = 4L * 1_048_576L;
    private static final long MAX_WAIT_MILLIS = 60_000L;
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int GONE = 410;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    private final LogServerOptions mOptions;
    private final TimeSource mTime;
    private final AppendRateLimiter mRateLimiter;
    private final Map<String, LogStream> mStreams = new HashMap<>();
    private final Map<String, List<PendingRead>> mPendingReads = new HashMap<>();
    private LogFault mFault = LogFault.NONE;
    private long mAppendsLimited;

    LogHandler(LogServerOptions options, TimeSource time) {
        mOptions = options;
        mTime = time;
        mRateLimiter = new AppendRateLimiter(options.appendsPerSecond(), time.nanos());
    }

    private record PendingRead(HttpCall call, long offset, long maxBytes) {}

    private record Appended(long offset) {}

    private record Earliest(long earliest) {}

    private record RetryAfter(long retryAfterMillis) {}

    @Override
    public synchronized void handle(HttpCall call) {
        String path = call.path();
        if (path.equals("/v1/faults") && call.method().equals("PUT")) {
            putFault(call);
        } else if (path.equals("/v1/statistics") && call.method().equals("GET")) {
            call.reply(HttpReply.ok(statistics(0)));
        } else {
            handleRecords(call, RECORDS_PATH.matcher(path));
        }
    }

    synchronized void setFault(LogFault fault) {
        mFault = fault;
        EventLog.log(StandinEvent.LOG_FAULT_SET, fault.mode().code(), fault.delay().toMillis());
        if (fault.mode() == LogFault.Mode.DOWN) {
            mPendingReads
                    .values()
                    .forEach(reads -> reads.forEach(read -> replyUnavailable(read.call())));
            mPendingReads.clear();
        }
    }

    synchronized LogStatistics statistics(int connections) {
        Map<String, LogStatistics.Stream> streams = new TreeMap<>();
        mStreams.forEach((name, stream) -> streams.put(name, stream.statistics()));
        int waiting = mPendingReads.values().stream().mapToInt(List::size).sum();
        return new LogStatistics(connections, waiting, mAppendsLimited, streams);
    }

    private void putFault(HttpCall call) {
        try {
            JsonNode body = JSON.readTree(call.body());
            LogFault.Mode mode = LogFault.Mode.fromString(body.path("mode").asText());
            setFault(new LogFault(mode, Duration.ofMillis(body.path("delayMillis").asLong())));
            call.reply(HttpReply.ok(Map.of("mode", mode.code())));
        } catch (IOException | IllegalArgumentException e) {
            call.reply(HttpReply.problem(BAD_REQUEST, "expected mode and delayMillis: " + e));
        }
    }

    private void handleRecords(HttpCall call, Matcher path) {
        if (!path.matches()) {
            call.reply(HttpReply.problem(NOT_FOUND, "no such resource: " + call.path()));
        } else if (!STREAM_NAME.matcher(path.group(1)).matches()) {
            call.reply(HttpReply.problem(BAD_REQUEST, "invalid stream name: " + path.group(1)));
        } else if (mFault.mode() == LogFault.Mode.DOWN) {
            replyUnavailable(call);
        } else if (call.method().equals("POST")) {
            append(call, path.group(1));
        } else {
            read(call, path.group(1));
        }
    }

    private void append(HttpCall call, String name) {
        long retryAfterMillis = mRateLimiter.tryAcquire(mTime.nanos());
        if (retryAfterMillis > 0) {
            mAppendsLimited++;
            sendReply(call, HttpReply.json(TOO_MANY_REQUESTS, new RetryAfter(retryAfterMillis)));
            return;
        }
        long offset = stream(name).append(call.body(), mTime.wallMillis());
        answerPending(name);
        if (mFault.mode() == LogFault.Mode.LOSE_APPEND_ANSWERS) {
            call.closeWithoutReply();
        } else {
            sendReply(call, HttpReply.ok(new Appended(offset)));
        }
    }

    private void read(HttpCall call, String name) {
        long offset;
        long maxBytes;
        long waitMillis;
        try {
            offset = call.longParameter("offset", 0);
            maxBytes = Math.min(MAX_READ_BYTES, call.longParameter("maxBytes", MAX_READ_BYTES));
            waitMillis = Math.min(MAX_WAIT_MILLIS, call.longParameter("waitMillis", 0));
        } catch (NumberFormatException e) {
            call.reply(HttpReply.problem(BAD_REQUEST, "not a whole number: " + e.getMessage()));
            return;
        }
        PendingRead read = new PendingRead(call, offset, maxBytes);
        LogStream stream = stream(name);
        if (offset < stream.end() || waitMillis <= 0) {
            answer(read, stream);
        } else {
            awaitRecord(name, read, waitMillis);
        }
    }

    private void awaitRecord(String name, PendingRead read, long waitMillis) {
        mPendingReads.computeIfAbsent(name, key -> new ArrayList<>()).add(read);
        HttpCall call = read.call();
        call.eventLoop().schedule(() -> timeOut(name, read), waitMillis, TimeUnit.MILLISECONDS);
        call.onDisconnect(() -> removePending(name, read));
    }

    private synchronized void timeOut(String name, PendingRead read) {
        if (removePending(name, read)) {
            answer(read, stream(name));
        }
    }

    private synchronized boolean removePending(String name, PendingRead read) {
        List<PendingRead> reads = mPendingReads.getOrDefault(name, List.of());
        return reads.removeIf(other -> other == read);
    }

    private void answerPending(String name) {
        LogStream stream = stream(name);
        Iterator<PendingRead> reads = mPendingReads.getOrDefault(name, List.of()).iterator();
        while (reads.hasNext()) {
            PendingRead read = reads.next();
            if (read.offset() < stream.end()) {
                reads.remove();
                answer(read, stream);
            }
        }
    }

    private void answer(PendingRead read, LogStream stream) {
        if (read.offset() < stream.earliest()) {
            sendReply(read.call(), HttpReply.json(GONE, new Earliest(stream.earliest())));
            return;
        }
        List<LogRecord> records = stream.read(read.offset(), read.maxBytes());
        stream.countRead(records);
        byte[] body = recordsBody(stream, records);
        Map<String, String> headers = Map.of("content-type", "application/json");
        sendReply(read.call(), new HttpReply(OK, headers, body));
    }

    private LogStream stream(String name) {
        LogStream stream =
                mStreams.computeIfAbsent(
                        name,
                        key -> new LogStream(mOptions.retentionAge(), mOptions.retentionRecords()));
        stream.expire(mTime.wallMillis());
        return stream;
    }

    private void sendReply(HttpCall call, HttpReply reply) {
        long delayMillis = mFault.mode() == LogFault.Mode.SLOW ? mFault.delay().toMillis() : 0;
        if (delayMillis > 0) {
            call.eventLoop().schedule(() -> call.reply(reply), delayMillis, TimeUnit.MILLISECONDS);
        } else {
            call.reply(reply);
        }
    }

    private static void replyUnavailable(HttpCall call) {
        call.reply(HttpReply.problem(UNAVAILABLE, "the log is down"));
    }

    private static byte[] recordsBody(LogStream stream, List<LogRecord> records) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.writeStartObject();
            json.writeNumberField("earliest", stream.earliest());
            json.writeNumberField("end", stream.end());
            json.writeArrayFieldStart("records");
            for (LogRecord record : records) {
                json.writeStartObject();
                json.writeNumberField("offset", record.offset());
                json.writeNumberField("appendedAtMillis", record.appendedAtMillis());
                json.writeBinaryField("data", record.data());
                json.writeEndObject();
            }
            json.writeEndArray();
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }
}
