import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** The platform's store as a sound one: keyed topics with one partition, as PROTOCOL.md has them. */
final class Store implements AutoCloseable {
    private static final class Topic {
        final List<byte[]> mRecords = new ArrayList<>();
        final Map<String, Integer> mNewest = new LinkedHashMap<>();
    }

    private final HttpServer mServer;
    private final ExecutorService mThreads =
            Executors.newCachedThreadPool(
                    task -> {
                        Thread thread = new Thread(task, "store");
                        thread.setDaemon(true);
                        return thread;
                    });
    private final Map<String, Topic> mTopics = new HashMap<>();
    private final Set<InetSocketAddress> mOpen = new HashSet<>();
    private final Set<InetSocketAddress> mSilent = new HashSet<>();

    Store() throws IOException {
        mServer = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 64);
        mServer.createContext("/", this::handle);
        mServer.setExecutor(mThreads);
        mServer.start();
    }

    String address() {
        return "127.0.0.1:" + mServer.getAddress().getPort();
    }

    /**
     * From now on, the connections that are open go silent for good, without a reset: what comes on
     * them is not answered any more. New ones work.
     */
    synchronized int silenceOpenConnections() {
        mSilent.addAll(mOpen);
        return mSilent.size();
    }

    /** Writes as the operator does. */
    synchronized void write(String topic, String key, String value) {
        byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
        byte[] content = value.getBytes(StandardCharsets.UTF_8);
        ByteBuffer record = ByteBuffer.allocate(1 + keyBytes.length + content.length);
        add(topic(topic), record.put((byte) keyBytes.length).put(keyBytes).put(content).array());
        notifyAll();
    }

    @Override
    public void close() {
        mServer.stop(0);
        mThreads.shutdownNow();
    }

    private void handle(HttpExchange exchange) throws IOException {
        synchronized (this) {
            mOpen.add(exchange.getRemoteAddress());
        }
        try {
            Map<String, String> query = new HashMap<>();
            String text = exchange.getRequestURI().getQuery();
            for (String part : text == null ? new String[0] : text.split("&")) {
                int at = part.indexOf('=');
                query.put(part.substring(0, at), part.substring(at + 1));
            }
            byte[] body = exchange.getRequestBody().readAllBytes();
            switch (exchange.getRequestURI().getPath()) {
                case "/log-append" -> append(exchange, query, body);
                case "/log-newest" -> newest(exchange, query);
                case "/log-read" -> read(exchange, query);
                default -> answer(exchange, 404, "{}".getBytes(StandardCharsets.UTF_8));
            }
        } catch (InterruptedException e) {
            exchange.close();
        }
    }

    private void append(HttpExchange exchange, Map<String, String> query, byte[] body)
            throws IOException {
        int offset;
        int end;
        synchronized (this) {
            Topic topic = topic(query.get("topic"));
            offset = topic.mRecords.size();
            if (query.containsKey("at") && Integer.parseInt(query.get("at")) != offset) {
                answer(exchange, 412, ("{\"endOffset\":" + offset + "}").getBytes());
                return;
            }
            ByteBuffer buffer = ByteBuffer.wrap(body);
            while (buffer.hasRemaining()) {
                byte[] record = new byte[buffer.getInt()];
                buffer.get(record);
                add(topic, record);
            }
            end = topic.mRecords.size();
            notifyAll();
        }
        answer(exchange, 200, ("{\"offset\":" + offset + ",\"endOffset\":" + end + "}").getBytes());
    }

    private void newest(HttpExchange exchange, Map<String, String> query) throws IOException {
        StringBuilder items = new StringBuilder();
        int end;
        synchronized (this) {
            Topic topic = topic(query.get("topic"));
            end = topic.mRecords.size();
            for (Map.Entry<String, Integer> entry : topic.mNewest.entrySet()) {
                byte[] record = topic.mRecords.get(entry.getValue());
                byte[] value = Arrays.copyOfRange(record, 1 + (record[0] & 0xff), record.length);
                items.append(items.length() == 0 ? "" : ",")
                        .append("{\"key\":\"")
                        .append(entry.getKey())
                        .append("\",\"value\":\"")
                        .append(Base64.getEncoder().encodeToString(value))
                        .append("\",\"offset\":")
                        .append(entry.getValue())
                        .append('}');
            }
        }
        String text = "{\"items\":[" + items + "],\"hasMore\":false,\"endOffset\":" + end + "}";
        answer(exchange, 200, text.getBytes(StandardCharsets.UTF_8));
    }

    private void read(HttpExchange exchange, Map<String, String> query)
            throws IOException, InterruptedException {
        int from = Integer.parseInt(query.get("from"));
        long until =
                System.nanoTime()
                        + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000L;
        ByteBuffer reply;
        synchronized (this) {
            Topic topic = topic(query.get("topic"));
            if (from > topic.mRecords.size()) {
                answer(exchange, 410, "{\"firstOffset\":0}".getBytes());
                return;
            }
            while (topic.mRecords.size() <= from) {
                long left = (until - System.nanoTime()) / 1_000_000L;
                if (left <= 0) {
                    break;
                }
                wait(left);
            }
            List<byte[]> records = topic.mRecords.subList(from, topic.mRecords.size());
            reply =
                    ByteBuffer.allocate(
                            16 + records.stream().mapToInt(record -> 4 + record.length).sum());
            reply.putLong(topic.mRecords.size()).putLong(0);
            records.forEach(record -> reply.putInt(record.length).put(record));
        }
        answer(exchange, 200, reply.array());
    }

    private static void add(Topic topic, byte[] record) {
        int keyLength = record[0] & 0xff;
        String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
        topic.mRecords.add(record);
        if (record.length == 1 + keyLength) {
            topic.mNewest.remove(key);
        } else {
            topic.mNewest.put(key, topic.mRecords.size() - 1);
        }
    }

    private Topic topic(String name) {
        return mTopics.computeIfAbsent(name, key -> new Topic());
    }

    private void answer(HttpExchange exchange, int status, byte[] body) throws IOException {
        synchronized (this) {
            if (mSilent.contains(exchange.getRemoteAddress())) {
                return;
            }
        }
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }
}
