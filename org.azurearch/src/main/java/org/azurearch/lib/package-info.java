/** Public nouns of the API: identifiers, verdicts and other value types. */
@NullMarked
package org.azurearch.lib;

import org.jspecify.annotations.NullMarked;
