/** Failure detection, gossip and the backend server beside the node. */
@NullMarked
package org.azurearch.internal.member;

import org.jspecify.annotations.NullMarked;
