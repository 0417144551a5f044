/** Decides where a request goes and whether it may be retried; without I/O. */
@NullMarked
package org.azurearch.sidecar.route;

import org.jspecify.annotations.NullMarked;
