/** Connections between nodes and the exchange of calls over them. */
@NullMarked
package org.azurearch.sidecar.internal.hop;

import org.jspecify.annotations.NullMarked;
