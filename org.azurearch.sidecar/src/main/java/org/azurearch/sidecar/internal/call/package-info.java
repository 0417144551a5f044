/** Accepts requests from callers, routes them and returns the answers. */
@NullMarked
package org.azurearch.sidecar.internal.call;

import org.jspecify.annotations.NullMarked;
