package org.azurearch.pgm;

import java.text.MessageFormat;
import java.util.Locale;
import java.util.ResourceBundle;

/**
 * User-visible texts of the command line, stored in {@code PgmText.properties} by constant name.
 */
public enum PgmText {
    /** Summary of {@code backend}. */
    SUMMARY_BACKEND,
    /** Summary of {@code bench}. */
    SUMMARY_BENCH,
    /** Summary of {@code check}. */
    SUMMARY_CHECK,
    /** Summary of {@code demo}. */
    SUMMARY_DEMO,
    /** Summary of {@code diff}. */
    SUMMARY_DIFF,
    /** Summary of {@code log}. */
    SUMMARY_LOG,
    /** Summary of {@code members}. */
    SUMMARY_MEMBERS,
    /** Summary of {@code node}. */
    SUMMARY_NODE,
    /** Summary of {@code publish}. */
    SUMMARY_PUBLISH,
    /** Summary of {@code raise}. */
    SUMMARY_RAISE,
    /** Option: the rule set. */
    OPTION_RULE_SET,
    /** Summary of {@code render}. */
    SUMMARY_RENDER,
    /** Summary of {@code status}. */
    SUMMARY_STATUS,
    /** Summary of {@code undo}. */
    SUMMARY_UNDO,
    /** Summary of {@code versions}. */
    SUMMARY_VERSIONS,
    /** Usage line of the program. */
    USAGE,
    /** Usage line of a command: name and summary. */
    USAGE_OF_COMMAND,
    /** An unknown command. */
    UNKNOWN_COMMAND,
    /** An unknown command, with a similar name as suggestion. */
    UNKNOWN_COMMAND_NEAR,
    /** A required option is missing. */
    MISSING_OPTION,
    /** An unexpected failure. */
    INTERNAL_ERROR,
    /** A file cannot be read. */
    CANNOT_READ,
    /** Option: the administration address of a node. */
    OPTION_NODE,
    /** Option: the bearer token. */
    OPTION_TOKEN,
    /** Option: a file with the bearer token. */
    OPTION_TOKEN_FILE,
    /** Option: the firm. */
    OPTION_FIRM,
    /** Option: print JSON. */
    OPTION_JSON,
    /** Option: print this help. */
    OPTION_HELP,
    /** Option: a PKCS #12 file with trusted certificates. */
    OPTION_TRUST_STORE,
    /** Option: the password of the trust store. */
    OPTION_TRUST_PASSWORD,
    /** Option: the base file. */
    OPTION_BASE,
    /** Option: an overlay file. */
    OPTION_OVERLAY,
    /** Option: remove the overlay of a site. */
    OPTION_REMOVE_OVERLAY,
    /** Option: the expected version. */
    OPTION_EXPECT,
    /** Option: the change id. */
    OPTION_ID,
    /** Option: the note. */
    OPTION_NOTE,
    /** Option: the longest wait for a change. */
    OPTION_WAIT,
    /** Option: the version to restore. */
    OPTION_TO,
    /** Option: the settings file. */
    OPTION_SETTINGS,
    /** Option: the site. */
    OPTION_SITE,
    /** Option: print the file and line of each value. */
    OPTION_EXPLAIN,
    /** Option: the address to listen on. */
    OPTION_LISTEN,
    /** Option: the number of records kept. */
    OPTION_RETAIN_RECORDS,
    /** Option: time that records are kept. */
    OPTION_RETAIN_TIME,
    /** Option: the largest number of appends per second. */
    OPTION_APPEND_RATE,
    /** Option: the service of a stand-in backend server. */
    OPTION_SERVICE,
    /** Option: the slots of a stand-in backend server. */
    OPTION_SLOTS,
    /** Option: the connections of a stand-in backend server. */
    OPTION_CONNECTIONS,
    /** Option: service time of a stand-in backend server. */
    OPTION_SERVICE_TIME,
    /** Option: cold start of a stand-in backend server. */
    OPTION_COLD_START,
    /** Option: the name of a record. */
    OPTION_RECORD_NAME,
    /** Option: an experiment and its options. */
    OPTION_EXPERIMENT,
    /** Usage line for comparing records. */
    COMPARE_USAGE,
    /** Option: the folder with the examples. */
    OPTION_EXAMPLES,
    /** Option: files or folders. */
    OPTION_FILES,
    /** Option: files to compare with. */
    OPTION_BEFORE,
    /** Option: the node on the same VM. */
    OPTION_OWN_NODE,
    /** Option: the time that a health probe takes. */
    OPTION_PROBE_COST,
    /** No file is given. */
    NO_FILES,
    /** Name of the sites without an overlay. */
    EVERY_SITE,
    /** How to use the running demonstration. */
    KEEP_HINT,
    /** Option: keep the demonstration running. */
    OPTION_KEEP,
    /** Option: the output folder. */
    OPTION_OUTPUT,
    /** A change, its status and its outcome. */
    CHANGE_LINE,
    /** The progress of a change in a data centre. */
    DATA_CENTRE_LINE,
    /** A data centre that does not answer. */
    SILENT_LINE,
    /** A version in the list of versions. */
    VERSION_LINE,
    /** Heading of the list of versions. */
    VERSIONS_HEAD,
    /** A node in the list of members. */
    MEMBER_LINE,
    /** A backend server in the list of members. */
    ENDPOINT_LINE,
    /** Documents are valid. */
    CHECK_OK,
    /** A stand-in is ready. */
    READY_LINE,
    /** A node is ready. */
    NODE_READY_LINE;

    private static final ResourceBundle TEXTS =
            ResourceBundle.getBundle("org.azurearch.pgm.PgmText", Locale.ROOT);

    /** Returns the text with the arguments filled in. */
    public String format(Object... arguments) {
        return MessageFormat.format(TEXTS.getString(name()), arguments);
    }
}
