/** Nodes in this process, joined over loopback, and documents of any size to publish. */
@NullMarked
package org.azurearch.standin.bench.mesh;

import org.jspecify.annotations.NullMarked;
