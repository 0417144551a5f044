/** The client of the platform's log over HTTP. */
@NullMarked
package org.azurearch.internal.log;

import org.jspecify.annotations.NullMarked;
