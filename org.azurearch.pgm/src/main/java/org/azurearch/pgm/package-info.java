/** Commands of the command line. */
@NullMarked
package org.azurearch.pgm;

import org.jspecify.annotations.NullMarked;
