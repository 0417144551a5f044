/** Parts that several duties of the node share. */
@NullMarked
package org.azurearch.sidecar.internal;

import org.jspecify.annotations.NullMarked;
