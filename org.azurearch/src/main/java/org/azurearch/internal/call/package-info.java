/** Data path of the node on Netty: receives, routes, admits and forwards calls. */
@NullMarked
package org.azurearch.internal.call;

import org.jspecify.annotations.NullMarked;
