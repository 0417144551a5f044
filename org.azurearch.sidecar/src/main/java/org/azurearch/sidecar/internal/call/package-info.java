/** Requests from callers: from the connection to the answer. */
@NullMarked
package org.azurearch.sidecar.internal.call;

import org.jspecify.annotations.NullMarked;
