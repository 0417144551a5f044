/** Unchecked exceptions with stable error codes, and locations in input. */
@NullMarked
package org.azurearch.errors;

import org.jspecify.annotations.NullMarked;
