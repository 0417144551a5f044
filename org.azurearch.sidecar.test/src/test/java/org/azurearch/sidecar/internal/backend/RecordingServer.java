package org.azurearch.sidecar.internal.backend;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.jspecify.annotations.Nullable;

/** A backend server that records the ids of its requests and answers them, or holds them. */
public final class RecordingServer implements AutoCloseable {
    private static final int BACKLOG = 50;

    private final ServerSocket mSocket =
            new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    private final List<Socket> mAccepted = new CopyOnWriteArrayList<>();
    private final List<String> mReceived = new CopyOnWriteArrayList<>();
    private final List<String> mCancelled = new CopyOnWriteArrayList<>();
    private volatile boolean mHolding = true;

    /** Starts a server that holds its requests. */
    public RecordingServer() throws IOException {
        startThread(this::accept);
    }

    /** Returns the port that it listens on. */
    public int port() {
        return mSocket.getLocalPort();
    }

    /** Answers no request that arrives from now on. */
    public void hold() {
        mHolding = true;
    }

    /** Answers each request that arrives from now on. */
    public void release() {
        mHolding = false;
    }

    /** Returns the ids of all requests, in the order of their arrival. */
    public List<String> received() {
        return new ArrayList<>(mReceived);
    }

    /** Returns the ids of the held requests whose connection was closed. */
    public List<String> cancelled() {
        return new ArrayList<>(mCancelled);
    }

    /** Closes all connections. */
    void closeConnections() throws IOException {
        for (Socket socket : mAccepted) {
            socket.close();
        }
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
        closeConnections();
    }

    private void accept() {
        while (!mSocket.isClosed()) {
            try {
                Socket socket = mSocket.accept();
                mAccepted.add(socket);
                startThread(() -> serve(socket));
            } catch (IOException e) {
                return; // closed
            }
        }
    }

    private void serve(Socket socket) {
        String held = null;
        try (socket) {
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.ISO_8859_1));
            for (String id = readId(in); id != null; id = readId(in)) {
                mReceived.add(id);
                if (mHolding) {
                    held = id;
                } else {
                    answer(socket, id);
                }
            }
        } catch (IOException e) {
            // The connection was reset, which cancels the request like a close.
        }
        if (held != null) {
            mCancelled.add(held);
        }
    }

    private static @Nullable String readId(BufferedReader in) throws IOException {
        String id = null;
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            if (line.startsWith("id: ")) {
                id = line.substring("id: ".length());
            } else if (line.isEmpty()) {
                return id;
            }
        }
        return null;
    }

    private static void answer(Socket socket, String id) throws IOException {
        String answer = "HTTP/1.1 200 OK\r\nid: " + id + "\r\nsignature: s\r\n";
        socket.getOutputStream()
                .write((answer + "content-length: 0\r\n\r\n").getBytes(StandardCharsets.UTF_8));
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "recording-server");
        thread.setDaemon(true);
        thread.start();
    }
}
