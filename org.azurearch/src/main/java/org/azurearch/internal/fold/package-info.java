/** Implementation of the fold of the change stream. */
@NullMarked
package org.azurearch.internal.fold;

import org.jspecify.annotations.NullMarked;
