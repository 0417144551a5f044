/** Meshes of nodes in this process, joined over loopback, and generated documents to publish. */
@NullMarked
package org.azurearch.standin.bench.mesh;

import org.jspecify.annotations.NullMarked;
