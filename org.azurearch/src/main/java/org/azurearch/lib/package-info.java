/** Value types of the public API: identifiers, verdicts, addresses and digests. */
@NullMarked
package org.azurearch.lib;

import org.jspecify.annotations.NullMarked;
