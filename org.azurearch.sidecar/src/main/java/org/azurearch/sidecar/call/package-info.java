/** One sending of a request to one backend server, and what came of it. */
@NullMarked
package org.azurearch.sidecar.call;

import org.jspecify.annotations.NullMarked;
