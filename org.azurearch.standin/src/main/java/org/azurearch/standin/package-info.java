/** Stand-ins of outside systems, and the experiment tool. */
@NullMarked
package org.azurearch.standin;

import org.jspecify.annotations.NullMarked;
