/** Implementation of the command line: options, output and shutdown. */
@NullMarked
package org.azurearch.pgm.internal;

import org.jspecify.annotations.NullMarked;
