package org.azurearch.sidecar.internal.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.azurearch.lib.NetAddress;
import org.azurearch.sidecar.Dialect;
import org.azurearch.sidecar.admit.AnswerBudget;

/** Guards against answers given to another request, or as whole though they broke off. */
class BackendConnectionTest {
    private static final Dialect DIALECT = TestDispatchers.DIALECT;

    private static final String[] HEADS = {
        "HTTP/1.1 200 OK\r\nsignature: s\r\n",
        "HTTP/1.1 500 Internal Server Error\r\nsignature: s\r\n",
        "HTTP/1.1 503 Service Unavailable\r\nnot-run: 1\r\nretry-after: 1\r\n",
        "HTTP/1.1 421 Misdirected Request\r\n",
        "HTTP/1.1 429 Too Many Requests\r\nnot-run: 1\r\n",
    };

    private static final int FIRST_REFUSAL = 2;

    /** Where a copy of an earlier answer is written. */
    private enum Place {
        NOWHERE,
        BEFORE_ANSWER,
        BEHIND_ANSWER,
        WHILE_IDLE
    }

    /** A request with its answer, and the copy of an earlier one on the same connection. */
    private record Step(
            int id, int head, boolean chunked, Place place, int copied, boolean named, int cut) {}

    /** An answer that the backend server wrote on a connection. */
    private record Written(String id, int head, boolean chunked, String body) {
        String text(boolean named) {
            return HEADS[head] + (named ? "id: " + id + "\r\n" : "") + framed(chunked, body);
        }
    }

    private static final class Outcome implements BackendConnection.ResponseListener {
        private String mAnswer;
        private String mFailure;

        @Override
        public void answered(FullHttpResponse answer) {
            assertNull(mAnswer);
            String body = answer.content().toString(StandardCharsets.US_ASCII);
            mAnswer = answer.status().code() + " " + body;
        }

        @Override
        public void failed(String reason) {
            assertNull(mFailure);
            mFailure = reason;
        }

        boolean ended() {
            return mAnswer != null || mFailure != null;
        }
    }

    /** Connections to one backend server, with what it has written on each. */
    private static final class Server implements AutoCloseable {
        private final BackendConnectionPool mPool =
                new BackendConnectionPool(
                        new EmbeddedChannel().eventLoop(),
                        DIALECT,
                        new NetAddress("127.0.0.1", 1),
                        new AnswerBudget(1, 1));
        private final Map<BackendConnection, EmbeddedChannel> mChannels = new HashMap<>();
        private final Map<BackendConnection, List<Written>> mWritten = new HashMap<>();

        BackendConnection connection(String id) {
            BackendConnection[] found = new BackendConnection[1];
            mPool.acquire(
                    idle -> idle.mayCarry(id), false, System.nanoTime(), idle -> found[0] = idle);
            if (found[0] == null) {
                EmbeddedChannel channel = new EmbeddedChannel();
                found[0] = mPool.install(channel);
                mChannels.put(found[0], channel);
                mWritten.put(found[0], new ArrayList<>());
            }
            return found[0];
        }

        @Override
        public void close() {
            mChannels.values().forEach(EmbeddedChannel::finishAndReleaseAll);
        }

        void write(BackendConnection connection, String text, int split) {
            EmbeddedChannel channel = mChannels.get(connection);
            for (int i = 0; i < text.length() && channel.isActive(); i += split) {
                channel.writeInbound(bytes(text.substring(i, Math.min(text.length(), i + split))));
            }
        }
    }

    @Property(tries = 3_000, seed = "20261205")
    void answerIsThatOfTheRequestWhateverIsRepeated(
            @ForAll("steps") List<Step> steps, @ForAll @IntRange(min = 1, max = 200) int split) {
        Set<String> usedUp = new HashSet<>();
        try (Server server = new Server()) {
            for (int i = 0; i < steps.size(); i++) {
                Step step = steps.get(i);
                String id = usedUp.contains("r" + step.id()) ? "u" + i : "r" + step.id();
                Written answer = new Written(id, step.head(), step.chunked(), "body of " + i);
                Outcome outcome = run(server, step, answer, split);
                if (outcome.mAnswer != null || step.place() != Place.BEFORE_ANSWER) {
                    String status = HEADS[step.head()].split(" ")[1];
                    assertEquals(status + " " + answer.body(), outcome.mAnswer);
                }
                if (outcome.mAnswer == null || step.head() < FIRST_REFUSAL) {
                    usedUp.add(id);
                }
            }
        }
    }

    @Property(tries = 3_000, seed = "20261205")
    void answerThatBreaksOffIsNeverGiven(
            @ForAll @IntRange(min = 0, max = 1) int head,
            @ForAll boolean chunked,
            @ForAll @IntRange(min = 0, max = 1_000) int cut,
            @ForAll boolean reset,
            @ForAll boolean interim,
            @ForAll @IntRange(min = 1, max = 200) int split) {
        String text = new Written("a", head, chunked, "whole body").text(true);
        String part = text.substring(0, cut % text.length());
        Outcome outcome =
                breakOff((interim ? "HTTP/1.1 100 Continue\r\n\r\n" : "") + part, split, reset);
        assertNull(outcome.mAnswer);
        assertTrue(outcome.mFailure != null);
    }

    @Property(tries = 1_000, seed = "20261205")
    void answerWithoutLengthIsGivenOnlyIfItsHeadEndedAndItWasNotReset(
            @ForAll @IntRange(min = 0, max = 1_000) int cut,
            @ForAll boolean reset,
            @ForAll @IntRange(min = 1, max = 200) int split) {
        String head = HEADS[0] + "id: a\r\n\r\n";
        String text = head + "body";
        String part = text.substring(0, cut % (text.length() + 1));
        Outcome outcome = breakOff(part, split, reset);
        boolean given = part.length() >= head.length() && !reset;
        assertEquals(
                given ? "200 " + part.substring(head.length()) : null,
                outcome.mAnswer,
                outcome.mFailure);
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, 1),
                        Arbitraries.integers().between(0, HEADS.length - 1),
                        Arbitraries.of(true, false),
                        Arbitraries.of(Place.class),
                        Arbitraries.integers().between(0, 3),
                        Arbitraries.of(true, false),
                        Arbitraries.integers().between(0, 1_000))
                .as(Step::new)
                .list()
                .ofMinSize(2)
                .ofMaxSize(6);
    }

    private static Outcome run(Server server, Step step, Written answer, int split) {
        BackendConnection connection = server.connection(answer.id());
        String copy = copy(server.mWritten.get(connection), step);
        Outcome outcome = new Outcome();
        connection.send(request(answer.id()), outcome);
        String before = step.place() == Place.BEFORE_ANSWER ? copy : "";
        String behind = step.place() == Place.BEHIND_ANSWER ? copy : "";
        server.mWritten.get(connection).add(answer);
        server.write(connection, before + answer.text(true) + behind, split);
        if (!outcome.ended()) {
            connection.abandon();
        } else if (step.place() == Place.WHILE_IDLE) {
            server.write(connection, copy, split);
        }
        return outcome;
    }

    private static String copy(List<Written> written, Step step) {
        if (written.isEmpty()) {
            return "";
        }
        String text = written.get(step.copied() % written.size()).text(step.named());
        return text.substring(0, 1 + step.cut() % text.length());
    }

    private static Outcome breakOff(String part, int split, boolean reset) {
        Outcome outcome = new Outcome();
        try (Server server = new Server()) {
            BackendConnection connection = server.connection("a");
            connection.send(request("a"), outcome);
            server.write(connection, part, split);
            EmbeddedChannel channel = server.mChannels.get(connection);
            if (reset) {
                channel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
            }
            channel.close();
        }
        return outcome;
    }

    private static String framed(boolean chunked, String body) {
        return chunked
                ? "transfer-encoding: chunked\r\n\r\n"
                        + Integer.toHexString(body.length())
                        + "\r\n"
                        + body
                        + "\r\n0\r\ntrailer: t\r\n\r\n"
                : "content-length: " + body.length() + "\r\n\r\n" + body;
    }

    private static FullHttpRequest request(String id) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/");
        request.headers().set(DIALECT.requestId(), id);
        return request;
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }
}
