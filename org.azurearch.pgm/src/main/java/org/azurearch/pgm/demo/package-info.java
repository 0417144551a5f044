/** The demonstration: a firm at its present size, run as real processes on this machine. */
@NullMarked
package org.azurearch.pgm.demo;

import org.jspecify.annotations.NullMarked;
