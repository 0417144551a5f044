/** Utilities shared by the tests of several bundles. */
@NullMarked
package org.azurearch.junit;

import org.jspecify.annotations.NullMarked;
