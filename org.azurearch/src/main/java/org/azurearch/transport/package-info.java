/** Authenticated request and reply exchange between nodes. */
@NullMarked
package org.azurearch.transport;

import org.jspecify.annotations.NullMarked;
