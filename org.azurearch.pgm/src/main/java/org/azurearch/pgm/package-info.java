/** The {@code azurearch} program and its commands. */
@NullMarked
package org.azurearch.pgm;

import org.jspecify.annotations.NullMarked;
