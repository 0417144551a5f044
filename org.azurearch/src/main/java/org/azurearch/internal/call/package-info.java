/** Data path on Netty. */
@NullMarked
package org.azurearch.internal.call;

import org.jspecify.annotations.NullMarked;
