package org.azurearch.admin;

import java.time.Duration;
import java.util.UUID;
import java.util.concurrent.locks.LockSupport;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.lib.ChangeId;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.ProgressMonitor;
import org.azurearch.time.SystemTimeSource;
import org.azurearch.time.TimeSource;

/**
 * Base of the commands that submit a change and wait for its outcome.
 *
 * @param <C> the type of the command
 */
public abstract class ChangeCommand<C extends ChangeCommand<C>> {
    private static final Duration POLL_PERIOD = Duration.ofMillis(100);

    private final AdminClient mClient;
    private final FirmId mFirm;
    private final TimeSource mTime = new SystemTimeSource();
    private ChangeId mId = ChangeId.fromString(UUID.randomUUID().toString());
    private String mNote = "";
    private Duration mWait = Duration.ZERO;
    private ProgressMonitor mMonitor = ProgressMonitor.NONE;
    private boolean mCalled;

    /**
     * Creates a command.
     *
     * @param client the client
     * @param firm the firm
     */
    ChangeCommand(AdminClient client, FirmId firm) {
        mClient = client;
        mFirm = firm;
    }

    /**
     * Sets the change id; random by default. A change submitted again with the same id has the
     * outcome of the first submission.
     */
    public C setId(ChangeId id) {
        mId = id;
        return self();
    }

    /** Sets the operator's note. */
    public C setNote(String note) {
        mNote = note;
        return self();
    }

    /** Sets how long to wait until the change is refused or in force; zero by default. */
    public C setWait(Duration wait) {
        mWait = wait;
        return self();
    }

    /** Sets the monitor that counts the nodes that have the change in force. */
    public C setMonitor(ProgressMonitor monitor) {
        mMonitor = monitor;
        return self();
    }

    /**
     * Submits the change and waits for its outcome; may be called only once.
     *
     * @return the status of the change once it is final or the wait has timed out
     * @throws AzurearchException when the change could not be submitted
     */
    public ChangeReport call() {
        if (mCalled) {
            throw new AzurearchException(ErrorCode.INTERNAL, "the command was already called");
        }
        mCalled = true;
        submit(mClient, mFirm, mId, mNote);
        return awaitFinal();
    }

    /** Submits the change to a node. */
    abstract void submit(AdminClient client, FirmId firm, ChangeId id, String note);

    /** Returns this command. */
    abstract C self();

    private ChangeReport awaitFinal() {
        StatusCommand status = new StatusCommand(mClient, mFirm, mId);
        long deadline = mTime.nanos() + mWait.toNanos();
        ChangeReport report = status.call();
        int reported = 0;
        boolean monitoring = false;
        while (!report.isFinal() && mTime.nanos() - deadline < 0) {
            if (!monitoring && total(report) > 0) {
                mMonitor.begin(mId.name(), total(report));
                monitoring = true;
            }
            int inForce = inForce(report);
            if (monitoring && inForce > reported) {
                mMonitor.update(inForce - reported);
                reported = inForce;
            }
            LockSupport.parkNanos(POLL_PERIOD.toNanos());
            report = status.call();
        }
        if (monitoring) {
            mMonitor.end();
        }
        return report;
    }

    private static int total(ChangeReport report) {
        return report.dataCentres().stream().mapToInt(ChangeReport.DataCentreReport::total).sum();
    }

    private static int inForce(ChangeReport report) {
        return report.dataCentres().stream().mapToInt(ChangeReport.DataCentreReport::inForce).sum();
    }
}
