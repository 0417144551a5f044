/** Carries roll-outs between nodes, the store and the call path. */
@NullMarked
package org.azurearch.sidecar.internal.rollout;

import org.jspecify.annotations.NullMarked;
