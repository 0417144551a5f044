/** One attempt of a call at one backend server, and its outcome. */
@NullMarked
package org.azurearch.sidecar.call;

import org.jspecify.annotations.NullMarked;
