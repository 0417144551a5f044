/** The fold of the change stream into the accepted configuration state. */
@NullMarked
package org.azurearch.fold;

import org.jspecify.annotations.NullMarked;
