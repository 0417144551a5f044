/** Admission control for calls to a node's backend server. */
@NullMarked
package org.azurearch.admit;

import org.jspecify.annotations.NullMarked;
