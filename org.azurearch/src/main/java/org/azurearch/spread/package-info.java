/** Distribution of accepted configuration from the log to every node. */
@NullMarked
package org.azurearch.spread;

import org.jspecify.annotations.NullMarked;
