/** Client side of the platform's append-only log. */
@NullMarked
package org.azurearch.log;

import org.jspecify.annotations.NullMarked;
