/** The capacity page: what each role needs at the size to design for, from measured slopes. */
@NullMarked
package org.azurearch.standin.bench.capacity;

import org.jspecify.annotations.NullMarked;
