import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Sockets on loopback addresses, and HTTP/1.1 messages. */
final class Net {
    private static final java.util.Set<Integer> PORTS = new java.util.HashSet<>();

    private Net() {}

    /** A task that may fail, as connections end at any time. */
    interface Task {
        void run() throws Exception;
    }

    /** A request or an answer; header names are in lower case. */
    static final class Message {
        final String first;
        final Map<String, String> headers;
        byte[] body = new byte[0];

        /** False if the connection ended before the body was complete. */
        boolean whole = true;

        Message(String first, Map<String, String> headers) {
            this.first = first;
            this.headers = headers;
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    /** Reads messages with a length, in chunks, or up to the end of the connection. */
    static final class Reader {
        private final InputStream in;

        Reader(InputStream in) {
            this.in = new BufferedInputStream(in, 65_536);
        }

        /** Returns the next message without its body, or null at the end of the connection. */
        Message head() throws IOException {
            String first = line();
            if (first == null || first.isEmpty()) {
                return null;
            }
            Map<String, String> headers = new HashMap<>();
            for (String line = line(); line != null && !line.isEmpty(); line = line()) {
                int colon = line.indexOf(':');
                headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT),
                        line.substring(colon + 1).trim());
            }
            return new Message(first, headers);
        }

        /** Reads the body of a message that has a length or comes in chunks. */
        void body(Message m) throws IOException {
            if ("chunked".equals(m.header("transfer-encoding"))) {
                java.io.ByteArrayOutputStream all = new java.io.ByteArrayOutputStream();
                for (int n = Integer.parseInt(line(), 16); n > 0; n = Integer.parseInt(line(), 16)) {
                    all.write(in.readNBytes(n));
                    line();
                }
                line();
                m.body = all.toByteArray();
                return;
            }
            int length = Integer.parseInt(m.headers.getOrDefault("content-length", "0"));
            m.body = in.readNBytes(length);
            m.whole = m.body.length == length;
        }

        Message message() throws IOException {
            Message m = head();
            if (m != null) {
                body(m);
            }
            return m;
        }

        InputStream stream() {
            return in;
        }

        private String line() throws IOException {
            StringBuilder text = new StringBuilder();
            for (int c = in.read(); c != '\n'; c = in.read()) {
                if (c < 0) {
                    return text.length() == 0 ? null : text.toString();
                }
                if (c != '\r') {
                    text.append((char) c);
                }
            }
            return text.toString();
        }
    }

    static ServerSocket listen(String host) throws IOException {
        return listen(host, 0);
    }

    static ServerSocket listen(String host, int port) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName(host), port), 200);
        return server;
    }

    /** Returns a port below the ephemeral range that is free at a host, another one each time. */
    static synchronized int freePort(String host) {
        java.util.SplittableRandom random = new java.util.SplittableRandom();
        while (true) {
            int port = random.nextInt(20_000, 32_000);
            if (!PORTS.add(port)) {
                continue;
            }
            try (ServerSocket s = new ServerSocket()) {
                s.bind(new InetSocketAddress(InetAddress.getByName(host), port));
                return port;
            } catch (IOException e) {
                // in use
            }
        }
    }

    static Thread thread(String name, Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // the other side closed, or the case is over
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static byte[] join(byte[] a, byte[] b) {
        byte[] all = java.util.Arrays.copyOf(a, a.length + b.length);
        System.arraycopy(b, 0, all, a.length, b.length);
        return all;
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }
}
