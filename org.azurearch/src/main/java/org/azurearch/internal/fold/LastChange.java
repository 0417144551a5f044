package org.azurearch.internal.fold;

import org.azurearch.lib.ChangeId;

/**
 * The last accepted change of a document.
 *
 * @param version the number of the version
 * @param change the change
 */
record LastChange(long version, ChangeId change) {}
