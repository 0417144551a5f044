/** Thread-safe admission of a node's calls. */
@NullMarked
package org.azurearch.internal.admit;

import org.jspecify.annotations.NullMarked;
