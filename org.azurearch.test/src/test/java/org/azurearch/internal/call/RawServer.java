package org.azurearch.internal.call;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.azurearch.lib.NetAddress;

/** A backend server on plain sockets that counts requests and answers them with a script. */
final class RawServer implements AutoCloseable {
    /** Answers one request on its connection. */
    interface Script {
        void answer(Request request, Socket connection) throws IOException;
    }

    /** A request as received. */
    record Request(String head, byte[] body) {
        String header(String name) {
            for (String line : head.split("\r\n")) {
                if (line.toLowerCase(Locale.ROOT).startsWith(name + ":")) {
                    return line.substring(name.length() + 1).trim();
                }
            }
            return "";
        }

        String path() {
            return head.split(" ")[1];
        }
    }

    final Map<String, AtomicInteger> mRunsByKey = new ConcurrentHashMap<>();
    final Map<String, Integer> mRunsByRequestLine = new ConcurrentHashMap<>();
    final AtomicInteger mRequestCount = new AtomicInteger();
    final AtomicInteger mConnectionCount = new AtomicInteger();
    private final Set<Socket> mOpenSockets = ConcurrentHashMap.newKeySet();
    private final ServerSocket mListener;
    private final Thread mAccepting;
    private volatile Script mScript = (request, connection) -> sendOk(connection, "ok");

    RawServer() throws IOException {
        mListener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        mAccepting = startDaemon(this::accept);
    }

    NetAddress address() {
        return new NetAddress("127.0.0.1", mListener.getLocalPort());
    }

    boolean closed() {
        return mListener.isClosed();
    }

    RawServer script(Script script) {
        mScript = script;
        return this;
    }

    int runs(String key) {
        AtomicInteger runs = mRunsByKey.get(key);
        return runs == null ? 0 : runs.get();
    }

    static void sendOk(Socket connection, String body) throws IOException {
        send(connection, "HTTP/1.1 200 OK\r\ncontent-length: " + body.length() + "\r\n\r\n" + body);
    }

    static void send(Socket connection, String bytes) throws IOException {
        connection.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
        connection.getOutputStream().flush();
    }

    /** Closes the listener and all connections, as the exit of the process does. */
    @Override
    public void close() throws IOException {
        mListener.close();
        try {
            mAccepting.join(); // it may still accept a connection after the listener is closed
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (Socket socket : mOpenSockets) {
            socket.close();
        }
    }

    private void accept() {
        while (!mListener.isClosed()) {
            try {
                Socket socket = mListener.accept();
                mOpenSockets.add(socket);
                mConnectionCount.incrementAndGet();
                startDaemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            for (Request request = read(in); request != null; request = read(in)) {
                mRequestCount.incrementAndGet();
                mRunsByRequestLine.merge(request.head().split("\r\n")[0], 1, Integer::sum);
                String key = request.header("run-key");
                mRunsByKey.computeIfAbsent(key, k -> new AtomicInteger()).incrementAndGet();
                mScript.answer(request, socket);
            }
        } catch (IOException | UncheckedIOException ignored) {
            // The peer or the test closed the connection.
        } finally {
            mOpenSockets.remove(socket);
        }
    }

    private static Request read(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            head.write(next);
        }
        Request request = new Request(head.toString(StandardCharsets.ISO_8859_1), new byte[0]);
        String length = request.header("content-length");
        if (!length.isEmpty()) {
            byte[] body = in.readNBytes(Integer.parseInt(length));
            return body.length == Integer.parseInt(length)
                    ? new Request(request.head(), body)
                    : null;
        }
        if (request.header("transfer-encoding").equals("chunked")) {
            return new Request(request.head(), readChunks(in));
        }
        return request;
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            StringBuilder size = new StringBuilder();
            for (int c = in.read(); c != '\n'; c = in.read()) {
                if (c < 0) {
                    throw new IOException("cut off");
                }
                size.append((char) c);
            }
            int bytes = Integer.parseInt(size.toString().trim(), 16);
            body.write(in.readNBytes(bytes));
            in.readNBytes(2);
            if (bytes == 0) {
                return body.toByteArray();
            }
        }
    }

    private static Thread startDaemon(Runnable task) {
        Thread thread = new Thread(task, "raw-server");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
