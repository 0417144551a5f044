import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Stand-in of the platform's store: keyed topics with one partition, held in memory. */
final class Store implements AutoCloseable {
    private static final class Topic {
        final List<byte[]> records = new ArrayList<>();
        final Map<String, Integer> newest = new LinkedHashMap<>();
    }

    private final ServerSocket server = Net.listen("127.0.0.1");
    private final Map<String, Topic> topics = new HashMap<>();

    Store() throws IOException {
        Net.thread("store", this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Writes a record as the operator does. */
    synchronized void write(String topic, String key, String value) {
        byte[] k = key.getBytes(StandardCharsets.UTF_8);
        byte[] v = value.getBytes(StandardCharsets.UTF_8);
        append(topic(topic), ByteBuffer.allocate(1 + k.length + v.length)
                .put((byte) k.length).put(k).put(v).array());
        notifyAll();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private Topic topic(String name) {
        return topics.computeIfAbsent(name, n -> new Topic());
    }

    private static void append(Topic topic, byte[] record) {
        int length = record[0] & 0xff;
        String key = new String(record, 1, length, StandardCharsets.UTF_8);
        topic.records.add(record);
        if (record.length == 1 + length) {
            topic.newest.remove(key);
        } else {
            topic.newest.put(key, topic.records.size() - 1);
        }
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            Net.thread("store-connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            Net.Reader in = new Net.Reader(socket.getInputStream());
            for (Net.Message m = in.message(); m != null; m = in.message()) {
                String[] line = m.first.split(" ");
                int query = line[1].indexOf('?');
                Map<String, String> q = new HashMap<>();
                for (String part : query < 0 ? new String[0] : line[1].substring(query + 1).split("&")) {
                    String[] kv = part.split("=", 2);
                    q.put(kv[0], java.net.URLDecoder.decode(kv[1], StandardCharsets.UTF_8));
                }
                String path = query < 0 ? line[1] : line[1].substring(0, query);
                byte[] body = switch (path) {
                    case "/log-append" -> appended(q, m.body);
                    case "/log-newest" -> newest(topic(q.get("topic")));
                    case "/log-read" -> read(topic(q.get("topic")), q);
                    default -> null;
                };
                String status = body == null ? "412 Precondition Failed" : "200 OK";
                byte[] sent = body == null ? "{\"endOffset\":0}".getBytes() : body;
                socket.getOutputStream().write(Net.join(
                        ("HTTP/1.1 " + status + "\r\nContent-Length: " + sent.length + "\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII), sent));
            }
        }
    }

    private synchronized byte[] appended(Map<String, String> q, byte[] body) {
        Topic topic = topic(q.get("topic"));
        int offset = topic.records.size();
        if (q.containsKey("at") && Integer.parseInt(q.get("at")) != offset) {
            return null;
        }
        ByteBuffer buffer = ByteBuffer.wrap(body);
        while (buffer.hasRemaining()) {
            byte[] record = new byte[buffer.getInt()];
            buffer.get(record);
            append(topic, record);
        }
        notifyAll();
        return ("{\"offset\":" + offset + ",\"endOffset\":" + topic.records.size() + "}").getBytes();
    }

    private synchronized byte[] newest(Topic topic) {
        List<String> items = new ArrayList<>();
        topic.newest.forEach((key, offset) -> {
            byte[] record = topic.records.get(offset);
            int start = 1 + (record[0] & 0xff);
            byte[] value = java.util.Arrays.copyOfRange(record, start, record.length);
            items.add("{\"key\":\"" + key + "\",\"value\":\""
                    + Base64.getEncoder().encodeToString(value) + "\",\"offset\":" + offset + "}");
        });
        return ("{\"items\":[" + String.join(",", items) + "],\"hasMore\":false,\"endOffset\":"
                + topic.records.size() + "}").getBytes(StandardCharsets.UTF_8);
    }

    private synchronized byte[] read(Topic topic, Map<String, String> q) throws Exception {
        int from = Integer.parseInt(q.get("from"));
        long end = System.nanoTime() + Long.parseLong(q.getOrDefault("waitMs", "0")) * 1_000_000L;
        while (topic.records.size() <= from) {
            long left = (end - System.nanoTime()) / 1_000_000L;
            if (left <= 0) {
                break;
            }
            wait(left);
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeLong(topic.records.size());
        out.writeLong(0);
        for (int i = from; i < topic.records.size(); i++) {
            out.writeInt(topic.records.get(i).length);
            out.write(topic.records.get(i));
        }
        return bytes.toByteArray();
    }
}
