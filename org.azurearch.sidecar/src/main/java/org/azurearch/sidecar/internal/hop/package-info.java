/** Connections between nodes. */
@NullMarked
package org.azurearch.sidecar.internal.hop;

import org.jspecify.annotations.NullMarked;
