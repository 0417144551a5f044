/** Admission of calls at the node in front of a backend server. */
@NullMarked
package org.azurearch.admit;

import org.jspecify.annotations.NullMarked;
