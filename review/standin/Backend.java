import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/** A run of a backend server: serves requests over HTTP/1.1 and sends heartbeats to its node. */
final class Backend implements AutoCloseable {
    /** A request as received. */
    static final class Request {
        final String mMethod;
        final String mTarget;
        final Map<String, String> mHeaders;
        final byte[] mBody;

        Request(String method, String target, Map<String, String> headers, byte[] body) {
            mMethod = method;
            mTarget = target;
            mHeaders = headers;
            mBody = body;
        }

        String id() {
            return mHeaders.getOrDefault("x-request-id", "-");
        }
    }

    /** Runs requests. */
    interface Behaviour {
        /** Answers a request that runs; returns false to close the connection. */
        boolean run(Request request, Socket socket, OutputStream out)
                throws IOException, InterruptedException;
    }

    static final String HEALTH_PATH = "/healthz";

    private final Record mRecord;
    private final String mName;
    private final String mService;
    private final String mInstance;
    private final String mHost;
    private final int mPort;
    private final int mSlots;
    private final long mBorn = System.currentTimeMillis();
    private final String mAdmin;
    private final long mBeatMillis;
    private final ServerSocket mServer;
    private final Behaviour mBehaviour;
    private final List<Socket> mSockets = new CopyOnWriteArrayList<>();
    final List<String> mRun = new CopyOnWriteArrayList<>();
    private volatile boolean mDark;
    private volatile boolean mClosed;
    private int mSequence;

    Backend(
            Record record,
            String name,
            String service,
            String instance,
            String host,
            int port,
            int slots,
            String admin,
            long beatMillis,
            Behaviour behaviour)
            throws IOException {
        mRecord = record;
        mName = name;
        mService = service;
        mInstance = instance;
        mHost = host;
        mSlots = slots;
        mAdmin = admin;
        mBeatMillis = beatMillis;
        mBehaviour = behaviour;
        mServer = new ServerSocket();
        mServer.setReuseAddress(true);
        mServer.bind(new InetSocketAddress(InetAddress.getByName(host), port), 64);
        mPort = mServer.getLocalPort();
        daemon("accept-" + name, this::accept);
    }

    int port() {
        return mPort;
    }

    String instance() {
        return mInstance;
    }

    /** Begins to send heartbeats, at once and then in each period. */
    void startHeartbeats() {
        daemon(
                "beat-" + mName,
                () -> {
                    while (!mDark && !mClosed) {
                        heartbeat("ready");
                        sleep(mBeatMillis);
                    }
                });
    }

    /** Sends a heartbeat; returns whether it was acknowledged. */
    boolean heartbeat(String state) {
        int sequence;
        synchronized (this) {
            sequence = ++mSequence;
        }
        String body =
                String.format(
                        Locale.ROOT,
                        "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"z\",\"version\":\"v1\","
                                + "\"slots\":%d,\"state\":\"%s\",\"coldLeft\":\"0ms\","
                                + "\"sequence\":%d,\"born\":%d}",
                        mService, mHost, mPort, mSlots, state, sequence, mBorn);
        int status = Client.simple(mAdmin, "PUT", "/instances/" + mInstance, body);
        if (status != 200 || sequence == 1) {
            mRecord.line(
                    "%s (%s of %s) heartbeat %d %s: %d",
                    mName, mInstance, mService, sequence, state, status);
        }
        return status == 200;
    }

    /** Loses power: answers nothing any more; its open connections stay silent. */
    void goDark() throws IOException {
        mDark = true;
        mServer.close();
        mRecord.line("%s (%s of %s) falls silent", mName, mInstance, mService);
    }

    @Override
    public void close() throws IOException {
        mClosed = true;
        mServer.close();
        for (Socket socket : mSockets) {
            socket.close();
        }
    }

    private void accept() {
        while (!mServer.isClosed()) {
            try {
                Socket socket = mServer.accept();
                socket.setTcpNoDelay(true);
                mSockets.add(socket);
                daemon("serve-" + mName, () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            Request request = read(in);
            while (request != null && !mDark) {
                if (!answer(request, socket, out)) {
                    break;
                }
                request = read(in);
            }
        } catch (IOException e) {
            mRecord.line("%s connection ended: %s", mName, e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (!mDark) {
            close(socket);
            mSockets.remove(socket);
        }
    }

    private boolean answer(Request request, Socket socket, OutputStream out)
            throws IOException, InterruptedException {
        if (request.mTarget.equals(HEALTH_PATH)) {
            reply(out, "200 OK", "X-Upstream-Instance: " + mInstance + "\r\n", new byte[0]);
            return true;
        }
        String expected = request.mHeaders.get("x-expected-instance");
        if (expected != null && !expected.equals(mInstance)) {
            mRecord.line("%s rejects %s: expected %s", mName, request.id(), expected);
            reply(
                    out,
                    "421 Misdirected Request",
                    "X-Request-Id: " + request.id() + "\r\nX-Upstream-Instance: " + mInstance
                            + "\r\nX-Not-Executed: 1\r\n",
                    new byte[0]);
            return true;
        }
        mRun.add(request.id());
        return mBehaviour.run(request, socket, out);
    }

    /** Returns whether this run fell silent, so that nothing may be written any more. */
    boolean dark() {
        return mDark;
    }

    /** Answers a request with status 200. */
    static void success(Request request, OutputStream out, byte[] body) throws IOException {
        reply(
                out,
                "200 OK",
                "X-Request-Id: " + request.id() + "\r\nX-Response-Signature: s-" + request.id()
                        + "\r\n",
                body);
    }

    static void reply(OutputStream out, String status, String headers, byte[] body)
            throws IOException {
        String head =
                "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length
                        + "\r\n\r\n";
        byte[] bytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] whole = new byte[bytes.length + body.length];
        System.arraycopy(bytes, 0, whole, 0, bytes.length);
        System.arraycopy(body, 0, whole, bytes.length, body.length);
        out.write(whole);
        out.flush();
    }

    private static Request read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        String[] words = first.split(" ");
        Map<String, String> headers = new HashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        return new Request(words[0], words[1], headers, in.readNBytes(length));
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            if (c != '\r') {
                line.write(c);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed then.
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static void daemon(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }
}
