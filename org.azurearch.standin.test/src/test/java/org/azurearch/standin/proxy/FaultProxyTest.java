package org.azurearch.standin.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.azurearch.junit.Await;
import org.azurearch.lib.NetAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class FaultProxyTest {
    private static final int SILENCE_MILLIS = 100;

    private final List<Socket> mSockets = new ArrayList<>();
    private final AtomicInteger mReceived = new AtomicInteger();
    private ServerSocket mEchoServer;
    private FaultProxy mProxy;

    @BeforeEach
    void start() throws IOException {
        mEchoServer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread acceptor = new Thread(this::accept);
        acceptor.setDaemon(true);
        acceptor.start();
        mProxy = FaultProxy.start(new NetAddress("127.0.0.1", mEchoServer.getLocalPort()));
    }

    @AfterEach
    void close() throws IOException {
        mProxy.close();
        mEchoServer.close();
        for (Socket socket : mSockets) {
            socket.close();
        }
    }

    @Test
    void forwardsBothWays() throws IOException {
        Socket socket = connect();
        write(socket, "hello");
        assertEquals("hello", read(socket, 5));
    }

    @Test
    void delaysWithoutLoss() throws IOException {
        mProxy.setFault(ProxyFault.delay(Duration.ofMillis(5)));
        Socket socket = connect();
        write(socket, "hello");
        assertEquals("hello", read(socket, 5));
    }

    @Test
    void cutsWithinRequest() throws IOException {
        mProxy.setFault(ProxyFault.cutRequestAfter(3));
        Socket socket = connect();
        write(socket, "hello");
        Await.untilEquals(3, mReceived::get);
        awaitEnd(socket);
    }

    @Test
    void cutsWithinAnswer() throws IOException {
        mProxy.setFault(ProxyFault.cutAnswerAfter(2));
        Socket socket = connect();
        write(socket, "hello");
        assertEquals("he", read(socket, 2));
        awaitEnd(socket);
        assertEquals(5, mReceived.get());
    }

    @Test
    void cutsBeforeTheAnswerOnceTheRequestArrived() throws IOException {
        mProxy.setFault(ProxyFault.CUT_ANSWER);
        Socket socket = connect();
        write(socket, "hello");
        awaitEnd(socket);
        assertEquals(5, mReceived.get());
    }

    @Test
    void dropsOneWayWhileTheConnectionStaysOpen() throws IOException {
        Socket socket = connect();
        write(socket, "one");
        assertEquals("one", read(socket, 3));
        mProxy.setFault(ProxyFault.DROP_ANSWERS);
        write(socket, "two");
        Await.untilEquals(6, mReceived::get);
        assertSilent(socket);
        mProxy.setFault(ProxyFault.DROP_REQUESTS);
        write(socket, "three");
        assertSilent(socket);
        assertEquals(6, mReceived.get());
    }

    @Test
    void halfOpenHidesTheCloseOfTheTarget() throws IOException {
        Socket socket = connect();
        write(socket, "one");
        assertEquals("one", read(socket, 3));
        mProxy.setFault(ProxyFault.HALF_OPEN);
        closeTargets();
        assertSilent(socket);
    }

    @Test
    void crossesAnswersOfTwoConnections() throws IOException {
        mProxy.setFault(ProxyFault.CROSSED);
        Socket first = connect();
        Socket second = connect();
        write(first, "aaa");
        write(second, "bbb");
        assertEquals("bbb", read(first, 3));
        assertEquals("aaa", read(second, 3));
    }

    @Test
    void planChoosesByConnection() throws IOException {
        mProxy.setPlan(number -> number == 0 ? ProxyFault.CUT_REQUEST : ProxyFault.NONE);
        Socket first = connect();
        write(first, "aaa");
        awaitEnd(first);
        Socket second = connect();
        write(second, "bbb");
        assertEquals("bbb", read(second, 3));
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = mEchoServer.accept();
                synchronized (mSockets) {
                    mSockets.add(socket);
                }
                Thread echo = new Thread(() -> echo(socket));
                echo.setDaemon(true);
                echo.start();
            }
        } catch (IOException expected) {
            // the test has ended
        }
    }

    private void echo(Socket socket) {
        try {
            byte[] buffer = new byte[1_024];
            int count = socket.getInputStream().read(buffer);
            while (count > 0) {
                mReceived.addAndGet(count);
                socket.getOutputStream().write(buffer, 0, count);
                count = socket.getInputStream().read(buffer);
            }
            socket.close();
        } catch (IOException expected) {
            // the connection was cut
        }
    }

    private void closeTargets() throws IOException {
        synchronized (mSockets) {
            for (Socket socket : mSockets) {
                socket.close();
            }
            mSockets.clear();
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), mProxy.address().port());
        socket.setSoTimeout((int) Await.DEFAULT_TIMEOUT.toMillis());
        return socket;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes());
    }

    private static String read(Socket socket, int count) throws IOException {
        return new String(socket.getInputStream().readNBytes(count));
    }

    private static void awaitEnd(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        try {
            assertEquals(-1, in.read());
        } catch (SocketTimeoutException e) {
            throw new AssertionError("the connection was not cut", e);
        } catch (IOException expected) {
            // a reset ends the connection as well
        }
    }

    private static void assertSilent(Socket socket) throws IOException {
        socket.setSoTimeout(SILENCE_MILLIS);
        assertThrows(SocketTimeoutException.class, () -> socket.getInputStream().read());
    }
}
