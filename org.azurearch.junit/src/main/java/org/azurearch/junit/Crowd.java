package org.azurearch.junit;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Connections that all send the same bytes and read nothing. They stay open until closed. */
public final class Crowd implements AutoCloseable {
    /** Time without any byte taken after which the node is assumed to have stopped reading. */
    private static final long STUCK_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** A node that reads slowly is not sent everything. */
    private static final long MAX_SEND_NANOS = TimeUnit.SECONDS.toNanos(8);

    private static final long POLL_NANOS = 1_000_000;

    private final List<Member> mMembers = new ArrayList<>();

    /**
     * Opens the connections.
     *
     * @param port the port on the loopback address
     * @param connections the number of connections
     * @param text what each sends, in ISO 8859-1
     * @param times how often each sends it
     */
    public Crowd(int port, int connections, String text, int times) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        for (int i = 0; i < connections; i++) {
            SocketChannel channel = SocketChannel.open(new InetSocketAddress("127.0.0.1", port));
            channel.configureBlocking(false);
            mMembers.add(new Member(channel, ByteBuffer.wrap(bytes), times));
        }
    }

    /** Sends until all is sent, or the node takes nothing more, or has closed the connections. */
    public void send() {
        long startNanos = System.nanoTime();
        long progressNanos = startNanos;
        while (mMembers.stream().anyMatch(Member::pending)
                && System.nanoTime() - progressNanos < STUCK_NANOS
                && System.nanoTime() - startNanos < MAX_SEND_NANOS) {
            boolean progress = false;
            for (Member member : mMembers) {
                progress |= member.pending() && member.sendSome();
            }
            if (progress) {
                progressNanos = System.nanoTime();
            } else {
                LockSupport.parkNanos(POLL_NANOS);
            }
        }
    }

    @Override
    public void close() throws IOException {
        for (Member member : mMembers) {
            member.mChannel.close();
        }
    }

    private static final class Member {
        private final SocketChannel mChannel;
        private final ByteBuffer mBytes;
        private int mTimesLeft;

        Member(SocketChannel channel, ByteBuffer bytes, int times) {
            mChannel = channel;
            mBytes = bytes;
            mTimesLeft = times;
        }

        boolean pending() {
            return mTimesLeft > 0;
        }

        boolean sendSome() {
            try {
                boolean sent = mChannel.write(mBytes) > 0;
                if (!mBytes.hasRemaining()) {
                    mBytes.rewind();
                    mTimesLeft--;
                }
                return sent;
            } catch (IOException e) {
                mTimesLeft = 0; // the node closed the connection, which it may
                return true;
            }
        }
    }
}
