/** Clocks, timers and retry delays. */
@NullMarked
package org.azurearch.time;

import org.jspecify.annotations.NullMarked;
