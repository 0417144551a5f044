/** Decides where a request goes and whether it may be sent again; pure decisions. */
@NullMarked
package org.azurearch.sidecar.route;

import org.jspecify.annotations.NullMarked;
