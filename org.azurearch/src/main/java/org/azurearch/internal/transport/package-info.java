/** Sealed Thrift requests and replies between nodes, over Netty. */
@NullMarked
package org.azurearch.internal.transport;

import org.jspecify.annotations.NullMarked;
