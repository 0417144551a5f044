package org.azurearch.internal.fold;

/** Limits of the fold. Every node must use the same values to fold to the same state. */
public final class FoldLimits {
    /** Retained versions of a firm. */
    public static final int VERSIONS = 50;

    /** Retained decisions of a firm; a repeated change older than these is evaluated again. */
    public static final int OUTCOMES = 1_000;

    /** Texts of all retained versions of a firm, in bytes; the oldest are dropped first. */
    public static final int RETAINED_BYTES = 8 * 1024 * 1024;

    /** Texts of the current version of a firm, in bytes. */
    public static final int CURRENT_BYTES = 4 * 1024 * 1024;

    /** Documents of the current version of a firm. */
    public static final int DOCUMENTS = 64;

    /** Names of documents that a firm may ever use. */
    public static final int DOCUMENT_NAMES = 1_024;

    /** Firms of a mesh. */
    public static final int FIRMS = 16;

    /** Problems stored for a refused change. */
    public static final int PROBLEMS = 10;

    /** An operator's note, in characters. */
    public static final int NOTE_CHARS = 500;

    /** A file name, in characters. */
    public static final int FILE_CHARS = 200;

    /** A change record before compression, in bytes. */
    public static final int CHANGE_BYTES = 4 * 1024 * 1024;

    /** A delta before compression, in bytes. */
    public static final int DELTA_BYTES = 32 * 1024 * 1024;

    /** A stored state before compression, in bytes. */
    public static final int STATE_BYTES = 160 * 1024 * 1024;

    private FoldLimits() {}
}
