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

/** Stand-in for a firm's backend server. */
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
            mHandler.setState(BackendState.READY);
        } else {
            mTimers.after(startup, () -> changeState(BackendState.READY));
        }
    }

    /**
     * Starts a backend server with its own run counter.
     *
     * @param listen the address to listen on; port 0 selects an ephemeral port
     */
    public static BackendServer start(NetAddress listen, BackendOptions options) {
        return start(listen, options, new RunCounter());
    }

    /** Starts a backend server that shares a run counter with others. */
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

    /** Returns the statistics since the start. */
    public BackendStatistics statistics() {
        return mHandler.statistics(mServer.connections());
    }

    /**
     * Announces the server to its node and renews the announcement until the server drains or
     * stops.
     */
    public void announceTo(AnnouncementTarget target, FirmId firm, ServiceId service) {
        mAnnouncer = new BackendAnnouncer(target, firm, service);
        mTimers.after(Duration.ZERO, this::announce);
        mTimers.every(ANNOUNCE_PERIOD, this::announce);
    }

    /**
     * Drains the server: announces the draining state, waits until no request runs, and withdraws
     * the announcement.
     *
     * @param timeout the maximum time to wait for running requests
     * @return whether all requests ended in time
     */
    public DrainResult drain(Duration timeout) {
        changeState(BackendState.DRAINING);
        long deadline = mTimers.time().nanos() + timeout.toNanos();
        while (mHandler.inUse() > 0 && mTimers.time().nanos() - deadline < 0) {
            LockSupport.parkNanos(DRAIN_POLL_NANOS);
        }
        mAnnouncer.withdraw();
        mAnnouncer = BackendAnnouncer.NONE;
        return mHandler.inUse() == 0 ? DrainResult.IDLE : DrainResult.STILL_RUNNING;
    }

    /** The result of draining. */
    public enum DrainResult {
        /** No request is running. */
        IDLE,
        /** Requests were still running at the timeout. */
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
        mHandler.setState(state);
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
