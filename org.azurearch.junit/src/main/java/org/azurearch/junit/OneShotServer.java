package org.azurearch.junit;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Reads the first request of one connection, sends given bytes and closes the connection. */
public final class OneShotServer implements AutoCloseable {
    private static final int REQUEST_BYTES = 4_096;

    private final ServerSocket mListener;
    private final Thread mThread;

    /**
     * Starts listening on an ephemeral port of the loopback address.
     *
     * @param reply what is sent, in ISO 8859-1
     */
    public OneShotServer(String reply) throws IOException {
        mListener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        mThread = new Thread(() -> serve(reply), "one-shot-server");
        mThread.start();
    }

    /** Returns the port. */
    public int port() {
        return mListener.getLocalPort();
    }

    /** Stops listening and waits until the connection is closed. */
    @Override
    public void close() throws IOException, InterruptedException {
        mListener.close();
        mThread.join();
    }

    private void serve(String reply) {
        try (Socket socket = mListener.accept()) {
            if (socket.getInputStream().read(new byte[REQUEST_BYTES]) > 0) {
                socket.getOutputStream().write(reply.getBytes(StandardCharsets.ISO_8859_1));
            }
        } catch (IOException e) {
            // The client or the test closed the connection.
        }
    }
}
