/** Access to the platform's keyed log. */
@NullMarked
package org.azurearch.sidecar.store;

import org.jspecify.annotations.NullMarked;
