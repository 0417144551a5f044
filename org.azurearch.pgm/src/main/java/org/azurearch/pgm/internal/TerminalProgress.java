package org.azurearch.pgm.internal;

import java.io.PrintStream;
import org.azurearch.lib.ProgressMonitor;

/** Shows progress on a terminal as {@code title: done/total}, on one line. */
public final class TerminalProgress implements ProgressMonitor {
    private final PrintStream mStream;
    private String mTitle = "";
    private int mTotal;
    private int mDone;

    private TerminalProgress(PrintStream stream) {
        mStream = stream;
    }

    /** Returns a monitor on standard error in a terminal, else {@link ProgressMonitor#NONE}. */
    public static ProgressMonitor onTerminal() {
        return System.console() == null ? NONE : new TerminalProgress(System.err);
    }

    @Override
    public synchronized void begin(String title, int totalWork) {
        mTitle = title;
        mTotal = totalWork;
        mDone = 0;
        printProgress();
    }

    @Override
    public synchronized void update(int completed) {
        mDone += completed;
        printProgress();
    }

    @Override
    public synchronized void end() {
        mStream.println();
    }

    private void printProgress() {
        mStream.print("\r" + mTitle + ": " + mDone + (mTotal > 0 ? "/" + mTotal : ""));
        mStream.flush();
    }
}
