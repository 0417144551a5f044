/** Quotas of client accounts over all nodes: messages, timers and waiting requests. */
@NullMarked
package org.azurearch.sidecar.internal.quota;

import org.jspecify.annotations.NullMarked;
