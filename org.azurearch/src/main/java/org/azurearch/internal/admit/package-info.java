/** Applies admission decisions to the calls of a node. */
@NullMarked
package org.azurearch.internal.admit;

import org.jspecify.annotations.NullMarked;
