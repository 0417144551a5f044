/** Distributes node records and configurations between nodes. */
@NullMarked
package org.azurearch.sidecar.internal.mesh;

import org.jspecify.annotations.NullMarked;
