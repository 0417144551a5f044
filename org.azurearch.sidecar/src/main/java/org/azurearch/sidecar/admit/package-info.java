/** Decides which requests a backend server gets and when; without I/O. */
@NullMarked
package org.azurearch.sidecar.admit;

import org.jspecify.annotations.NullMarked;
