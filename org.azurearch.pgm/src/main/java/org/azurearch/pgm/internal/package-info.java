/** Inner workings of the command line. */
@NullMarked
package org.azurearch.pgm.internal;

import org.jspecify.annotations.NullMarked;
