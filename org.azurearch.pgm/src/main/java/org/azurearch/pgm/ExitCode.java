package org.azurearch.pgm;

import org.azurearch.errors.ErrorCode;

/** Exit codes of every command. */
public enum ExitCode {
    /** The command succeeded. */
    DONE(0),
    /** The program failed in an unexpected way. */
    FAILED(1),
    /** The command line or the settings are wrong. */
    USAGE(2),
    /** The input or the change was refused. */
    REFUSED(3),
    /** The change conflicts with another one that was accepted first. */
    CONFLICT(4),
    /** The result is unknown, or no node answered. */
    UNAVAILABLE(5);

    private final int mStatus;

    ExitCode(int status) {
        mStatus = status;
    }

    /** Returns the exit status of the process. */
    public int status() {
        return mStatus;
    }

    /** Returns the exit code for an error code. */
    public static ExitCode of(ErrorCode code) {
        return switch (code) {
            case USAGE -> USAGE;
            case INTERNAL, CORRUPT -> FAILED;
            case CONFLICT -> CONFLICT;
            case LOG_UNAVAILABLE,
                    LOG_RESULT_UNKNOWN,
                    PEER_UNAVAILABLE,
                    BUSY,
                    NOT_READY,
                    OUTCOME_UNKNOWN,
                    CANCELLED ->
                    UNAVAILABLE;
            default -> REFUSED;
        };
    }
}
