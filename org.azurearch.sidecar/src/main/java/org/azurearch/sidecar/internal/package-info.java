/** HTTP and socket helpers and the monitor of the backend server, shared by the packages below. */
@NullMarked
package org.azurearch.sidecar.internal;

import org.jspecify.annotations.NullMarked;
