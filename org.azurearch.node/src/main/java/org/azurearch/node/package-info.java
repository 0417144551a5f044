/** The node daemon. */
@NullMarked
package org.azurearch.node;

import org.jspecify.annotations.NullMarked;
