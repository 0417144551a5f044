/** Shared test kit. */
@NullMarked
package org.azurearch.junit;

import org.jspecify.annotations.NullMarked;
