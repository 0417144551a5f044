/** Stand-ins for external systems, and the experiment tool. */
@NullMarked
package org.azurearch.standin;

import org.jspecify.annotations.NullMarked;
