package org.azurearch.internal.call;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.azurearch.lib.NetAddress;

/** A caller on a plain socket, which sees exactly the bytes received. */
final class RawClient implements AutoCloseable {
    private static final int TIMEOUT_MILLIS = 20_000;

    /** An answer; incomplete if the connection was closed before the end given by its framing. */
    record Answer(int status, String head, String body, boolean complete) {
        String header(String name) {
            for (String line : head.split("\r\n")) {
                if (line.toLowerCase(Locale.ROOT).startsWith(name + ":")) {
                    return line.substring(name.length() + 1).trim();
                }
            }
            return "";
        }

        String verdict() {
            return header("azurearch-verdict");
        }

        String code() {
            return header("azurearch-code");
        }
    }

    private final Socket mSocket;

    RawClient(NetAddress address) throws IOException {
        this(new Socket(address.host(), address.port()));
    }

    RawClient(Socket socket) throws IOException {
        mSocket = socket;
        mSocket.setSoTimeout(TIMEOUT_MILLIS);
    }

    static Answer call(NetAddress address, String request) throws IOException {
        try (RawClient client = new RawClient(address)) {
            client.send(request);
            return client.read();
        }
    }

    static String get(String path, String... headers) {
        return "GET " + path + " HTTP/1.1\r\nhost: x\r\n" + headerLines(headers) + "\r\n";
    }

    static String post(String path, String body, String... headers) {
        return "POST "
                + path
                + " HTTP/1.1\r\nhost: x\r\ncontent-length: "
                + body.length()
                + "\r\n"
                + headerLines(headers)
                + "\r\n"
                + body;
    }

    void send(String bytes) throws IOException {
        mSocket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
        mSocket.getOutputStream().flush();
    }

    /** Reads an answer; its status is 0 if the connection was closed before the end of the head. */
    Answer read() throws IOException {
        Answer answer = readHead();
        InputStream in = mSocket.getInputStream();
        if (!answer.header("content-length").isEmpty()) {
            int length = Integer.parseInt(answer.header("content-length"));
            byte[] body = in.readNBytes(length);
            return withBody(answer, body, body.length == length);
        }
        return answer.header("transfer-encoding").equals("chunked") ? chunked(answer, in) : answer;
    }

    /** Reads an answer without a body, regardless of its headers. */
    Answer readHead() throws IOException {
        InputStream in = mSocket.getInputStream();
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                return new Answer(0, "", "", false);
            }
            head.write(next);
        }
        String text = head.toString(StandardCharsets.ISO_8859_1);
        return new Answer(Integer.parseInt(text.split(" ")[1]), text, "", true);
    }

    /** Returns whether the node has closed the connection; blocks until it does or sends a byte. */
    boolean connectionClosed() throws IOException {
        try {
            return mSocket.getInputStream().read() < 0;
        } catch (java.net.SocketException e) {
            return true;
        }
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }

    private static Answer chunked(Answer answer, InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            StringBuilder size = new StringBuilder();
            for (int c = in.read(); c != '\n'; c = in.read()) {
                if (c < 0) {
                    return withBody(answer, body.toByteArray(), false);
                }
                size.append((char) c);
            }
            int bytes = Integer.parseInt(size.toString().trim(), 16);
            body.write(in.readNBytes(bytes));
            in.readNBytes(2);
            if (bytes == 0) {
                return withBody(answer, body.toByteArray(), true);
            }
        }
    }

    private static Answer withBody(Answer answer, byte[] body, boolean whole) {
        return new Answer(
                answer.status(),
                answer.head(),
                new String(body, StandardCharsets.ISO_8859_1),
                whole);
    }

    private static String headerLines(String... headers) {
        StringBuilder lines = new StringBuilder();
        for (String header : headers) {
            lines.append(header).append("\r\n");
        }
        return lines.toString();
    }
}
