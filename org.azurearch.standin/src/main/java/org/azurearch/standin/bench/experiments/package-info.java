/** The experiments and the classes that they share. */
@NullMarked
package org.azurearch.standin.bench.experiments;

import org.jspecify.annotations.NullMarked;
