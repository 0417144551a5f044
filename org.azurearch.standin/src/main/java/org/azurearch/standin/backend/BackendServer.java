package org.azurearch.standin.backend;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import org.azurearch.events.EventLog;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.NetAddress;
import org.azurearch.lib.ServiceId;
import org.azurearch.member.BackendState;
import org.azurearch.standin.StandinEvent;
import org.azurearch.standin.http.HttpServer;
import org.azurearch.time.SystemTimerService;
import org.azurearch.time.TimerService;

/** Stand-in of a firm's backend server. */
public final class BackendServer implements AutoCloseable {
    private static final int THREADS = 1;
    private static final int MAX_BODY_BYTES = 16 * 1_048_576;
    private static final int EXIT_CRASHED = 137;
    private static final long DRAIN_POLL_NANOS = 1_000_000L;
    private static final Duration ANNOUNCE_PERIOD = Duration.ofSeconds(2);

    private final BackendOptions mOptions;
    private final TimerService mTimers = new SystemTimerService();
    private final BackendHandler mHandler;
    private final HttpServer mServer;
    private volatile BackendAnnouncer mAnnouncer = BackendAnnouncer.NONE;
    private volatile boolean mClosed;

    private BackendServer(NetAddress listen, BackendOptions options, RunCounter runs) {
        mOptions = options;
        mHandler = new BackendHandler(options, runs, mTimers.time(), this::crash);
        mServer =
                HttpServer.start(
                        listen,
                        new HttpServer.Limits(THREADS, MAX_BODY_BYTES, options.maxConnections()),
                        mHandler);
        Duration startup = options.coldStart().startup();
        if (startup.isZero()) {
            mHandler.state(BackendState.READY);
        } else {
            mTimers.after(startup, () -> changeState(BackendState.READY));
        }
    }

    /**
     * Starts a backend server with a count of runs of its own.
     *
     * @param listen where it listens; port 0 takes an ephemeral one
     */
    public static BackendServer start(NetAddress listen, BackendOptions options) {
        return start(listen, options, new RunCounter());
    }

    /** Starts a backend server that shares a count of runs with others. */
    public static BackendServer start(NetAddress listen, BackendOptions options, RunCounter runs) {
        return new BackendServer(listen, options, runs);
    }

    /** Returns the address that the server listens on. */
    public NetAddress address() {
        return mServer.address();
    }

    /** Returns the state. */
    public BackendState state() {
        return mHandler.state();
    }

    /** Returns what the server has seen since its start. */
    public BackendStatistics statistics() {
        return mHandler.statistics(mServer.connections());
    }

    /** Begins to announce the server to its node and renews the announcement until it leaves. */
    public void announceTo(AnnouncementTarget target, FirmId firm, ServiceId service) {
        mAnnouncer = new BackendAnnouncer(target, firm, service);
        mTimers.after(Duration.ZERO, this::announce);
        mTimers.every(ANNOUNCE_PERIOD, this::announce);
    }

    /**
     * Leaves by plan: announces that it drains, waits until no request runs, and withdraws.
     *
     * @param most the longest to wait for running requests
     * @return how it ended
     */
    public DrainResult drain(Duration most) {
        changeState(BackendState.DRAINING);
        long deadline = mTimers.time().nanos() + most.toNanos();
        while (mHandler.inUse() > 0 && mTimers.time().nanos() - deadline < 0) {
            LockSupport.parkNanos(DRAIN_POLL_NANOS);
        }
        mAnnouncer.withdraw();
        mAnnouncer = BackendAnnouncer.NONE;
        return mHandler.inUse() == 0 ? DrainResult.IDLE : DrainResult.STILL_RUNNING;
    }

    /** How a drain ended. */
    public enum DrainResult {
        /** No request runs any more. */
        IDLE,
        /** Requests still ran when the time was up. */
        STILL_RUNNING
    }

    /** Closes all connections at once, as a crash does. */
    @Override
    public void close() {
        mClosed = true;
        mTimers.close();
        mServer.close();
    }

    private void changeState(BackendState state) {
        mHandler.state(state);
        announce();
    }

    private void announce() {
        if (mClosed) {
            return;
        }
        mAnnouncer.announce(address(), mHandler.state(), mOptions.slots());
    }

    private void crash() {
        EventLog.log(StandinEvent.BACKEND_CRASHED, address());
        if (mOptions.crashEndsProcess()) {
            Runtime.getRuntime().halt(EXIT_CRASHED);
        }
        mClosed = true;
        Thread closer = new Thread(this::close, "standin-crash");
        closer.setDaemon(true);
        closer.start();
    }
}
