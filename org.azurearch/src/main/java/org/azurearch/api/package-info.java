/** Commands of the library: objects with chained setters and one call. */
@NullMarked
package org.azurearch.api;

import org.jspecify.annotations.NullMarked;
