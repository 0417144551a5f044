import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A caller's connection, which sends one request at a time and keeps the connection open. */
final class Client implements AutoCloseable {
    /** A whole answer. */
    static final class Answer {
        final int mStatus;
        final Map<String, String> mHeaders;
        final byte[] mBody;

        Answer(int status, Map<String, String> headers, byte[] body) {
            mStatus = status;
            mHeaders = headers;
            mBody = body;
        }

        String header(String name) {
            return mHeaders.get(name.toLowerCase(Locale.ROOT));
        }
    }

    private final Socket mSocket = new Socket();
    private final InputStream mIn;

    /** Connects; an answer that takes longer than the timeout ends with an IOException. */
    Client(String address, int timeoutMillis) throws IOException {
        int colon = address.lastIndexOf(':');
        mSocket.connect(
                new InetSocketAddress(
                        address.substring(0, colon),
                        Integer.parseInt(address.substring(colon + 1))),
                1_000);
        mSocket.setTcpNoDelay(true);
        mSocket.setSoTimeout(timeoutMillis);
        mIn = new BufferedInputStream(mSocket.getInputStream());
    }

    /** Sends a request and reads the whole answer; an IOException if the connection ends before. */
    Answer call(String method, String host, String target, String id, long deadline, byte[] body)
            throws IOException {
        send(method, host, target, id, deadline, body);
        return read();
    }

    void send(String method, String host, String target, String id, long deadline, byte[] body)
            throws IOException {
        String head =
                method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + id
                        + "\r\nX-Deadline-Ms: " + deadline + "\r\n"
                        + (body.length > 0 || !method.equals("GET")
                                ? "Content-Length: " + body.length + "\r\n"
                                : "")
                        + "\r\n";
        byte[] bytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] whole = new byte[bytes.length + body.length];
        System.arraycopy(bytes, 0, whole, 0, bytes.length);
        System.arraycopy(body, 0, whole, bytes.length, body.length);
        mSocket.getOutputStream().write(whole);
        mSocket.getOutputStream().flush();
    }

    Answer read() throws IOException {
        String status = line();
        if (status == null) {
            throw new IOException("the connection was closed without an answer");
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(); ; line = line()) {
            if (line == null) {
                throw new IOException("the connection was closed within an answer");
            }
            if (line.isEmpty()) {
                break;
            }
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = mIn.readNBytes(length);
        if (body.length < length) {
            throw new IOException("the connection was closed within an answer");
        }
        return new Answer(Integer.parseInt(status.split(" ")[1]), headers, body);
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }

    private String line() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = mIn.read(); c != '\n'; c = mIn.read()) {
            if (c < 0) {
                return null;
            }
            if (c != '\r') {
                line.write(c);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Sends a request with a JSON body on a connection of its own; returns the status or 0. */
    static int simple(String address, String method, String target, String body) {
        try (Client client = new Client(address, 1_000)) {
            return client.call(
                            method,
                            address,
                            target,
                            "-",
                            1_000,
                            body.getBytes(StandardCharsets.UTF_8))
                    .mStatus;
        } catch (IOException e) {
            return 0;
        }
    }
}
