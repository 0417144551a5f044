/** Authenticated requests and replies between nodes. */
@NullMarked
package org.azurearch.transport;

import org.jspecify.annotations.NullMarked;
