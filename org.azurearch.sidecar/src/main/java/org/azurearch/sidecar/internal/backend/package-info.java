/** Admits, queues and sends requests to the backend server behind this node. */
@NullMarked
package org.azurearch.sidecar.internal.backend;

import org.jspecify.annotations.NullMarked;
