/** A node beside a backend server on a platform that keeps configuration and lasting state. */
@NullMarked
package org.azurearch.sidecar;

import org.jspecify.annotations.NullMarked;
