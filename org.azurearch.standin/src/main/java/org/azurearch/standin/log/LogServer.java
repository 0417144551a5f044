package org.azurearch.standin.log;

import org.azurearch.lib.NetAddress;
import org.azurearch.standin.http.HttpServer;
import org.azurearch.time.SystemTimeSource;
import org.azurearch.time.TimeSource;

/** Stand-in for the platform's log service over HTTP; keeps the records in memory. */
public final class LogServer implements AutoCloseable {
    /** The maximum size of a record, in bytes. */
    public static final int MAX_RECORD_BYTES = 1_048_576;

    private static final int THREADS = 1;
    private static final int MAX_CONNECTIONS = 20_000;

    private final LogHandler mHandler;
    private final HttpServer mServer;

    private LogServer(NetAddress listen, LogServerOptions options, TimeSource time) {
        mHandler = new LogHandler(options, time);
        mServer =
                HttpServer.start(
                        listen,
                        new HttpServer.Limits(THREADS, MAX_RECORD_BYTES, MAX_CONNECTIONS),
                        mHandler);
    }

    /**
     * Starts a log that uses the system clocks.
     *
     * @param listen the address to listen on; port 0 selects an ephemeral port
     */
    public static LogServer start(NetAddress listen, LogServerOptions options) {
        return start(listen, options, new SystemTimeSource());
    }

    /** Starts a log that uses the given time source. */
    public static LogServer start(NetAddress listen, LogServerOptions options, TimeSource time) {
        return new LogServer(listen, options, time);
    }

    /** Returns the address that the log listens on. */
    public NetAddress address() {
        return mServer.address();
    }

    /** Sets the fault to inject; {@link LogFault#NONE} ends it. */
    public void setFault(LogFault fault) {
        mHandler.setFault(fault);
    }

    /** Returns the statistics since the start. */
    public LogStatistics statistics() {
        return mHandler.statistics(mServer.connections());
    }

    @Override
    public void close() {
        mServer.close();
    }
}
