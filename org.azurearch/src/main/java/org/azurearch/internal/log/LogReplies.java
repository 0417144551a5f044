package org.azurearch.internal.log;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.internal.call.PooledHttpClient;
import org.azurearch.log.LogBatch;
import org.azurearch.log.LogRecord;
import org.azurearch.log.OffsetRemovedException;

/** Parses the log's replies and converts error statuses to exceptions. */
final class LogReplies {
    private static final int STATUS_OK = 200;
    private static final int STATUS_GONE = 410;
    private static final int STATUS_TOO_LARGE = 413;
    private static final int STATUS_TOO_MANY = 429;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final int MESSAGE_MAX_CHARS = 200;

    private static final ObjectMapper JSON = new ObjectMapper();

    private LogReplies() {}

    /** Parses the offset in the reply to an append. */
    static long offset(PooledHttpClient.Reply response) {
        if (response.status() != STATUS_OK) {
            throw statusException(response, ErrorCode.LOG_RESULT_UNKNOWN);
        }
        JsonNode root = parse(response, ErrorCode.LOG_RESULT_UNKNOWN);
        return number(root, "offset", ErrorCode.LOG_RESULT_UNKNOWN);
    }

    /** Parses the records in the reply to a read. */
    static LogBatch batch(PooledHttpClient.Reply response, long requestedOffset) {
        if (response.status() == STATUS_GONE) {
            JsonNode root = parse(response, ErrorCode.LOG_UNAVAILABLE);
            throw new OffsetRemovedException(requestedOffset, number(root, "earliest"));
        }
        if (response.status() != STATUS_OK) {
            throw statusException(response, ErrorCode.LOG_UNAVAILABLE);
        }
        JsonNode root = parse(response, ErrorCode.LOG_UNAVAILABLE);
        List<LogRecord> records = new ArrayList<>();
        for (JsonNode item : root.path("records")) {
            records.add(record(item, requestedOffset + records.size()));
        }
        return new LogBatch(records, number(root, "earliest"), number(root, "end"));
    }

    private static LogRecord record(JsonNode item, long expectedOffset) {
        long offset = number(item, "offset");
        if (offset != expectedOffset) {
            throw new AzurearchException(
                    ErrorCode.LOG_UNAVAILABLE,
                    "the log returned offset " + offset + " instead of " + expectedOffset);
        }
        try {
            byte[] data = item.path("data").binaryValue();
            if (data == null) {
                throw new IOException("a record without data");
            }
            return new LogRecord(offset, number(item, "appendedAtMillis"), data);
        } catch (IOException e) {
            throw new AzurearchException(ErrorCode.LOG_UNAVAILABLE, "malformed record data", e);
        }
    }

    private static AzurearchException statusException(
            PooledHttpClient.Reply response, ErrorCode defaultCode) {
        ErrorCode code =
                switch (response.status()) {
                    case STATUS_TOO_LARGE -> ErrorCode.TOO_LARGE;
                    case STATUS_TOO_MANY, STATUS_UNAVAILABLE -> ErrorCode.LOG_UNAVAILABLE;
                    default -> defaultCode;
                };
        String body = new String(response.body(), StandardCharsets.UTF_8);
        return new AzurearchException(
                code,
                "the log answered with status "
                        + response.status()
                        + " "
                        + body.substring(0, Math.min(body.length(), MESSAGE_MAX_CHARS)));
    }

    private static JsonNode parse(PooledHttpClient.Reply response, ErrorCode failureCode) {
        try {
            return JSON.readTree(response.body());
        } catch (IOException e) {
            throw new AzurearchException(failureCode, "malformed answer from the log", e);
        }
    }

    private static long number(JsonNode node, String field) {
        return number(node, field, ErrorCode.LOG_UNAVAILABLE);
    }

    private static long number(JsonNode node, String field, ErrorCode failureCode) {
        JsonNode value = node.path(field);
        if (!value.canConvertToLong()) {
            throw new AzurearchException(
                    failureCode, "the log's answer has no numeric field " + field);
        }
        return value.longValue();
    }
}
