import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;

/** A caller with one kept connection. */
final class Client implements AutoCloseable {
    final Socket socket = new Socket();
    final Net.Reader in;

    Client(String address) throws IOException {
        this(address, 0);
    }

    /** Creates a caller whose connection has a small window, as over a slow link. */
    Client(String address, int receiveBuffer) throws IOException {
        if (receiveBuffer > 0) {
            socket.setReceiveBufferSize(receiveBuffer);
        }
        int colon = address.indexOf(':');
        socket.connect(new InetSocketAddress(address.substring(0, colon),
                Integer.parseInt(address.substring(colon + 1))), 1_000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(30_000);
        in = new Net.Reader(socket.getInputStream());
    }

    void send(String method, String target, String id, long deadlineMillis, byte[] body)
            throws IOException {
        String length = body.length == 0 ? "" : "Content-Length: " + body.length + "\r\n";
        socket.getOutputStream().write(Net.join(Net.ascii(method + " " + target
                + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: "
                + deadlineMillis + "\r\n" + length + "\r\n"), body));
    }

    /** Sends a request and returns its answer, or null if the connection ended without one. */
    Net.Message call(String method, String target, String id, long deadlineMillis)
            throws IOException {
        send(method, target, id, deadlineMillis, new byte[0]);
        return in.message();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    /** Sends one request of the platform or a backend server; returns the status, or 0. */
    static int once(String address, String method, String target, String body) {
        try (Client c = new Client(address)) {
            c.socket.setSoTimeout(1_000);
            byte[] bytes = body.getBytes();
            c.socket.getOutputStream().write(Net.join(Net.ascii(method + " " + target
                    + " HTTP/1.1\r\nHost: " + address + "\r\nContent-Type: application/json\r\n"
                    + "Connection: close\r\nContent-Length: " + bytes.length + "\r\n\r\n"), bytes));
            Net.Message m = c.in.message();
            return m == null ? 0 : m.status();
        } catch (IOException e) {
            return 0;
        }
    }
}
