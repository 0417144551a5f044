package org.azurearch.internal.config;

import java.util.List;

/** A section of a document that maps keys to entries, in the order in which it is printed. */
public enum Section {
    /** Classes of calls. */
    CLASSES("classes", List.of("priority")),
    /** Policies of retry and queueing. */
    POLICIES("policies", List.of("attempts", "retryBudgetPercent", "queueLength", "queueWait")),
    /** Services. */
    SERVICES("services", List.of("slots", "connections", "slowStart", "probePath", "probePeriod")),
    /** Routes. */
    ROUTES(
            "routes",
            List.of(
                    "host",
                    "path",
                    "methods",
                    "service",
                    "class",
                    "policy",
                    "idempotent",
                    "deadline"));

    private final String mKey;
    private final List<String> mFields;

    Section(String key, List<String> fields) {
        mKey = key;
        mFields = fields;
    }

    /** Returns the key of the section in a document. */
    public String key() {
        return mKey;
    }

    /** Returns the fields of an entry, in the order in which they are printed. */
    public List<String> fields() {
        return mFields;
    }
}
