/** Decides which requests a backend server gets, and when; pure decisions. */
@NullMarked
package org.azurearch.sidecar.admit;

import org.jspecify.annotations.NullMarked;
