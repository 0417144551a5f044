package org.azurearch.internal.call;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.azurearch.call.CallEvent;
import org.azurearch.events.EventLog;
import org.azurearch.lib.NetAddress;

/**
 * Sends requests to this node's own listener before it is advertised, so that the first calls are
 * not delayed by class loading and compilation. The requests are not forwarded.
 */
final class WarmUp {
    private static final int TIMEOUT_MILLIS = 1_000;
    private static final int BUFFER_BYTES = 4_096;
    private static final String END_OF_BODY = "}";
    private static final String REQUESTS =
            "GET "
                    + NodeRequests.TICKET_PATH
                    + " HTTP/1.1\r\nhost: warm-up\r\n\r\n"
                    + "POST /.azurearch/warm-up HTTP/1.1\r\nhost: warm-up\r\ncontent-length: 2\r\n"
                    + "idempotency-key: warm-up\r\n\r\n{}";
    private static final int ANSWERS = 2;

    private final NetAddress mAddress;
    private final int mRounds;

    /**
     * Creates a warm-up.
     *
     * @param address the address of the listener
     * @param rounds how often the requests are sent; 0 disables the warm-up
     */
    WarmUp(NetAddress address, int rounds) {
        mAddress = address;
        mRounds = rounds;
    }

    /** Runs the warm-up; a failure is logged and aborts it. */
    void run() {
        if (mRounds == 0) {
            return;
        }
        try (Socket socket = new Socket()) {
            socket.connect(mAddress.socketAddress(), TIMEOUT_MILLIS);
            socket.setSoTimeout(TIMEOUT_MILLIS);
            socket.setTcpNoDelay(true);
            for (int round = 0; round < mRounds; round++) {
                socket.getOutputStream().write(REQUESTS.getBytes(StandardCharsets.US_ASCII));
                awaitAnswers(socket.getInputStream());
            }
        } catch (IOException e) {
            EventLog.log(CallEvent.WARM_UP_FAILED, e.toString());
        }
    }

    /** Reads until the JSON bodies of both answers have arrived, each ending with a brace. */
    private static void awaitAnswers(InputStream in) throws IOException {
        byte[] buffer = new byte[BUFFER_BYTES];
        int answers = 0;
        while (answers < ANSWERS) {
            int read = in.read(buffer);
            if (read < 0) {
                throw new IOException("the listener closed the connection");
            }
            String text = new String(buffer, 0, read, StandardCharsets.US_ASCII);
            answers += text.length() - text.replace(END_OF_BODY, "").length();
        }
    }
}
