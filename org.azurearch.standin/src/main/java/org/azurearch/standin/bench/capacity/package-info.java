/** The capacity page: resource needs of each role at the target size, derived from records. */
@NullMarked
package org.azurearch.standin.bench.capacity;

import org.jspecify.annotations.NullMarked;
