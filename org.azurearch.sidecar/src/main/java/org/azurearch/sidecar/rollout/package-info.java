/** Roll-outs of new versions of a service: the order, its state, the judgement of the version. */
@NullMarked
package org.azurearch.sidecar.rollout;

import org.jspecify.annotations.NullMarked;
