/** Unchecked exceptions with stable codes, and the places in input they point at. */
@NullMarked
package org.azurearch.errors;

import org.jspecify.annotations.NullMarked;
