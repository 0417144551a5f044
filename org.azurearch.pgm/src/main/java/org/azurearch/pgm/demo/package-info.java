/** The demonstration: a firm at the size of today, as real processes on this machine. */
@NullMarked
package org.azurearch.pgm.demo;

import org.jspecify.annotations.NullMarked;
