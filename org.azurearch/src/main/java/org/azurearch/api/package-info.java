/**
 * Commands of the library: objects with chained setters and a method {@code call()} that runs them.
 */
@NullMarked
package org.azurearch.api;

import org.jspecify.annotations.NullMarked;
